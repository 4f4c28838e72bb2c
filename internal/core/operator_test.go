package core

import (
	"errors"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/cells"
)

// Operators' calls through the core's goroutine: errors, states, and the end.
func TestOperatorCalls(t *testing.T) {
	r := newCellRig(t, twoCells())
	go r.Core.run()
	ctx := t.Context()
	for what, c := range map[string]struct {
		tenant, cell string
		want         error
	}{
		"unknown tenant": {"x", "a", cells.ErrUnknownTenant}, "unknown cell": {"t", "x", cells.ErrUnknownCell}, "same cell": {"t", "a", cells.ErrSameCell},
	} {
		if _, err := r.Core.MigrateTenant(ctx, c.tenant, c.cell); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if m, err := r.Core.Evacuate(ctx, "b"); err != nil || m.Tenants != 2 {
		t.Errorf("evacuate: %+v, %v", m, err)
	}
	if _, err := r.Core.MigrateTenant(ctx, "u", "b"); !errors.Is(err, cells.ErrEvacuated) {
		t.Errorf("into an evacuated cell: %v", err)
	}
	if _, err := r.Core.Evacuate(ctx, "a"); !errors.Is(err, cells.ErrNoTargetCell) {
		t.Errorf("the last cell is evacuated: %v", err)
	}
	states, err := r.Core.Cells(ctx)
	if err != nil || len(states) != 2 || !states[1].Evacuated || len(states[0].Tenants) != 3 || len(states[0].Workers)+len(states[1].Workers) != 12 {
		t.Errorf("%+v, %v", states, err)
	}
	if m, err := r.Core.RestorePlacement(ctx, "", "b"); err != nil || m.Tenants != 2 {
		t.Errorf("restore: %+v, %v", m, err)
	}
	r.Core.BeginShutdown(time.Second)
	if _, err := r.Core.MigrateTenant(ctx, "t", "b"); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("while it ends: %v", err)
	}
	r.Core.Stop()
	if _, err := r.Core.Cells(ctx); !errors.Is(err, ErrShuttingDown) {
		t.Errorf("after its end: %v", err)
	}
}
