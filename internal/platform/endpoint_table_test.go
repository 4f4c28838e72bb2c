package platform

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

// Guards against a table that grows with each worker that was ever announced, until discovery sends a complete list.
func TestRemovedWorkersLeaveTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newEndpointTable(&config.Settings{})
		announce := func(version int64, worker, health string) {
			table.apply(&endpointsResponse{
				Version: &version, Endpoints: []endpointEntry{{ID: worker, Address: "h:1", Health: health}},
			})
		}
		announce(1, "stays", healthActive)
		const changes = 20 * minPruneEntries
		for i := range changes {
			worker := fmt.Sprint("w", i)
			announce(2, worker, healthActive)
			announce(3, worker, healthRemoved)
			time.Sleep(time.Second)
			if state, since := table.state(worker); state != foxlift.Removed || since.IsZero() {
				t.Fatalf("state of %s, removed a second before, is %v since %v, want removed with its time", worker, state, since)
			}
		}
		if state, _ := table.state("stays"); state != foxlift.Live || len(table.entries) > minPruneEntries {
			t.Errorf("after %d workers the table has %d entries and the first worker is %v, want at most %d and live",
				changes, len(table.entries), state, minPruneEntries)
		}
	})
}
