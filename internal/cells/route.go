package cells

import "errors"

// Errors of migrations and evacuations. Their texts are shown to operators.
var (
	ErrUnknownTenant = errors.New("there is no such tenant")
	ErrUnknownCell   = errors.New("there is no such cell")
	ErrSameCell      = errors.New("the tenant is in that cell already")
	ErrNoWorkers     = errors.New("the target cell has no live worker")
	ErrEvacuated     = errors.New("that cell is evacuated: restore it first")
	ErrNoTargetCell  = errors.New("every other cell is evacuated or has no live worker")
)

// A Condition describes whether a cell can run jobs now.
type Condition uint8

// The conditions of a cell.
const (
	Healthy     Condition = iota // it has a warm worker, which is not in slow start
	SlowStart                    // all its workers are in slow start
	Unavailable                  // it has no live worker, or is evacuated
)

// A Route is the decision which cell receives a job.
type Route struct {
	Cell    int
	Spilled bool // Cell is not the job's own cell, which is not healthy
	Shed    bool // no cell can run the job; Cell is the job's own cell
}

// Route returns the cell that receives a job: its own cell, or, while that is not healthy, the cell that it
// spills into if that one is healthy. A spilled job is not spilled again, so that spills form no cycle or
// chain. Without such a target, a cell in slow start receives its jobs itself, at a limited rate, and an
// unavailable cell sheds them. hasCapacity reports whether the target cell accepts one more spilled job.
func (l *Layout) Route(
	tenant int, key uint64, condition func(cell int) Condition, hasCapacity func(cell int) bool,
) Route {
	own := l.Cell(tenant, key)
	state := condition(own)
	if state == Healthy {
		return Route{Cell: own}
	}
	target := l.plan.spillCells[own]
	if target >= 0 && condition(target) == Healthy && hasCapacity(target) {
		return Route{Cell: target, Spilled: true}
	}
	return Route{Cell: own, Shed: state == Unavailable}
}

// SpillBound returns the maximum number of open jobs that a cell may have spilled into its target cell, given
// the target's bound on open jobs: SpillFraction of the bound, rounded down, but at least 1.
func (l *Layout) SpillBound(from, bound int) int {
	return max(1, int(l.plan.cells[from].SpillFraction*float64(bound)))
}

// CheckMigration returns nil if a tenant can migrate to a cell, and otherwise ErrUnknownTenant, ErrUnknownCell,
// ErrSameCell or ErrNoWorkers. It changes nothing, and does not check whether the cell is evacuated.
func (l *Layout) CheckMigration(tenant, to int) error {
	switch {
	case tenant < 0 || tenant >= len(l.plan.tenantNames):
		return ErrUnknownTenant
	case to < 0 || to >= len(l.plan.cells):
		return ErrUnknownCell
	case len(l.tenants[tenant]) == 1 && int(l.tenants[tenant][0]) == to:
		return ErrSameCell
	case len(l.members[to]) == 0:
		return ErrNoWorkers
	}
	return nil
}
