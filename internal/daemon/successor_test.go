package daemon

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/upgrade"
)

// A state that is too old, or from the future, is not used, and the successor starts without it.
func TestStaleStateIsNotUsed(t *testing.T) {
	lock, err := upgrade.AcquireTakeover(t.TempDir(), "127.0.0.1:3000", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(lock.Release)
	d := &Daemon{Counters: &counters.Set{}, log: zap.NewNop()}
	d.takeover.lock = lock
	for _, age := range []time.Duration{2 * maxStateAge, -2 * maxStateAge} {
		stale := core.State{DrainProgress: core.DrainProgress{TakenAt: time.Now().Add(-age).UnixNano()}}
		if err := lock.SaveState(&stale); err != nil {
			t.Fatal(err)
		}
		if _, err := d.loadPredecessorProgress(); !errors.Is(err, errStaleState) {
			t.Errorf("loadPredecessorProgress() of a state %v old: error %v, want %v", age, err, errStaleState)
		}
		d.restoreState(t.Context())
	}
	if got := d.Counters.Get("upgrades.without_state"); got != 2 {
		t.Errorf("counter upgrades.without_state = %d, want 2", got)
	}
}
