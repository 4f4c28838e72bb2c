package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/cells"
)

// Operators' calls through the event loop: errors, states, and the shutdown.
func TestOperatorCalls(t *testing.T) {
	r := newCellRig(t, twoCells())
	r.loop.start(r.runEventLoop)
	ctx := t.Context()
	for name, test := range map[string]struct {
		tenant, cell string
		want         error
	}{
		"unknown tenant": {"x", "a", cells.ErrUnknownTenant},
		"unknown cell":   {"t", "x", cells.ErrUnknownCell},
		"same cell":      {"t", "a", cells.ErrSameCell},
	} {
		if _, err := r.MigrateTenant(ctx, test.tenant, test.cell); !errors.Is(err, test.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if m, err := r.Evacuate(ctx, "b"); err != nil || m.Tenants != 2 {
		t.Errorf("evacuate: %+v, %v", m, err)
	}
	if _, err := r.MigrateTenant(ctx, "u", "b"); !errors.Is(err, cells.ErrEvacuated) {
		t.Errorf("into an evacuated cell: %v", err)
	}
	if _, err := r.Evacuate(ctx, "a"); !errors.Is(err, cells.ErrNoTargetCell) {
		t.Errorf("the last cell is evacuated: %v", err)
	}
	states, err := r.Cells(ctx)
	if err != nil || len(states) != 2 {
		t.Fatalf("%+v, %v", states, err)
	}
	workers := len(states[0].Workers) + len(states[1].Workers)
	if !states[1].Evacuated || len(states[0].Tenants) != 3 || workers != cellRigWorkers {
		t.Errorf("%+v", states)
	}
	if m, err := r.RestorePlacement(ctx, "", "b"); err != nil || m.Tenants != 2 {
		t.Errorf("restore: %+v, %v", m, err)
	}
	r.BeginShutdown(time.Second)
	if _, err := r.MigrateTenant(ctx, "t", "b"); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("in a shutdown: %v", err)
	}
	r.Stop()
	if _, err := r.Cells(ctx); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("after the stop: %v", err)
	}
}

// A caller that goes away gets its context's error at once, and holds up nothing.
func TestOperatorCallIsCancelled(t *testing.T) {
	r := newCellRig(t, twoCells()) // its event loop is not running
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := r.Evacuate(ctx, "b"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v, want the context's error", err)
	}
	r.settle() // the call is executed, and nobody reads its result
	if !r.cells.all[1].evacuated {
		t.Error("a call that was posted was not executed")
	}
}
