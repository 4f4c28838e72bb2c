package platform

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
)

// Steps of the wall clock must not change the age of a worker. The clock is stepped before the worker starts, or
// between two lists that announce it. The start time on the scheduler's clock must follow real time and stay the same
// in the second list, and connections from before and after the start must be distinguished.
func TestProcessStartAcrossClockSteps(t *testing.T) {
	const age, tolerance = 2 * time.Second, 200 * time.Millisecond
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		for _, when := range []string{"before", "after"} {
			t.Run(fmt.Sprintf("%v, %s the start", step, when), func(t *testing.T) {
				clock := core.NewClock()
				offset := time.Duration(0)
				watch := newEndpointWatch(t.Context(), "", &config.Settings{}, nil, nil)
				watch.table.coreNow, watch.table.wallNow = clock.Now, func() time.Time { return wallClock().Add(offset) }
				if when == "before" {
					offset = step
				}
				startedMilli := watch.table.wallNow().Add(-age).UnixMilli()
				announce := func(version int) foxlift.Worker {
					l, err := parseEndpoints(fmt.Appendf(nil,
						`{"seq":%d,"whole":true,"hosts":[{"host":"n","dial":"h:1","health":"active","born_ms":%d}]}`,
						version, startedMilli))
					if err != nil {
						t.Fatal(err)
					}
					watch.mu.Lock()
					defer watch.mu.Unlock()
					return watch.applyLocked(l)[0]
				}
				first := announce(1)
				if got := time.Duration(clock.Now() - first.StartedAt); got < age-tolerance || got > age+tolerance {
					t.Errorf("worker age is %v, want %v", got, age)
				}
				offset = step
				if again := announce(2); again.StartedAt != first.StartedAt {
					t.Errorf("start time moves by %v in the second list, want no change",
						time.Duration(again.StartedAt-first.StartedAt))
				}
				endpoint, _ := watch.findLive("n")
				if before := time.Now().Add(-age - time.Second); !before.Before(endpoint.startedAt) {
					t.Error("connection from before the worker's start counts as newer than the start")
				}
				if now := time.Now(); now.Before(endpoint.startedAt) {
					t.Error("connection from now counts as older than the worker's start")
				}
			})
		}
	}
}
