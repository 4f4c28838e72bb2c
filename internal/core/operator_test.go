package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/cells"
)

// Operator calls must change the placement, report the states of the cells, and return the documented errors for
// wrong names, for evacuated cells and during a shutdown.
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
			t.Errorf("%s: MigrateTenant(%q, %q) = %v, want %v", name, test.tenant, test.cell, err, test.want)
		}
	}
	if m, err := r.Evacuate(ctx, "b"); err != nil || m.Tenants != 2 {
		t.Errorf("Evacuate(%q) = %+v, %v, want 2 tenants and no error", "b", m, err)
	}
	if _, err := r.MigrateTenant(ctx, "u", "b"); !errors.Is(err, cells.ErrEvacuated) {
		t.Errorf("MigrateTenant() into an evacuated cell = %v, want %v", err, cells.ErrEvacuated)
	}
	if _, err := r.Evacuate(ctx, "a"); !errors.Is(err, cells.ErrNoTargetCell) {
		t.Errorf("Evacuate() of the last cell = %v, want %v", err, cells.ErrNoTargetCell)
	}
	states, err := r.Cells(ctx)
	if err != nil || len(states) != 2 {
		t.Fatalf("Cells() = %+v, %v, want 2 states and no error", states, err)
	}
	workers := len(states[0].Workers) + len(states[1].Workers)
	if !states[1].Evacuated || len(states[0].Tenants) != 3 || workers != cellRigWorkers {
		t.Errorf("Cells() = %+v, want b evacuated, 3 tenants in a and %d workers in total", states, cellRigWorkers)
	}
	if m, err := r.RestorePlacement(ctx, "", "b"); err != nil || m.Tenants != 2 {
		t.Errorf("RestorePlacement(%q, %q) = %+v, %v, want 2 tenants and no error", "", "b", m, err)
	}
	r.BeginShutdown(time.Second)
	if _, err := r.MigrateTenant(ctx, "t", "b"); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("MigrateTenant() during a shutdown = %v, want %v", err, ErrShuttingDown)
	}
	r.Stop()
	if _, err := r.Cells(ctx); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("Cells() after Stop() = %v, want %v", err, ErrShuttingDown)
	}
}

// A call whose context ends must return the context's error at once, and must not block the event loop.
func TestOperatorCallIsCancelled(t *testing.T) {
	r := newCellRig(t, twoCells()) // its event loop is not running
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := r.Evacuate(ctx, "b"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Evacuate() = %v, want %v", err, context.DeadlineExceeded)
	}
	r.settle() // the call is executed, although no caller waits for its result
	if !r.cells.all[1].evacuated {
		t.Error("cell b is not evacuated after the posted call, want it evacuated")
	}
}
