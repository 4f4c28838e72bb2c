package cells

import "errors"

// Errors of migrations, as operators read them.
var (
	ErrUnknownTenant = errors.New("there is no such tenant")
	ErrUnknownCell   = errors.New("there is no such cell")
	ErrSameCell      = errors.New("the tenant is in that cell already")
	ErrNoWorkers     = errors.New("that cell has no live node")
	ErrEvacuated     = errors.New("that cell is evacuated: restore it first")
	ErrNoTargetCell  = errors.New("no other cell has a live node")
)

// A Condition is what a cell can do now.
type Condition uint8

// The conditions of a cell.
const (
	Healthy     Condition = iota // it has a warm worker
	SlowStart                    // all its workers are in slow start
	Unavailable                  // it has no worker
)

// A Route is where a job goes.
type Route struct {
	Cell    int
	Spilled bool // to another cell than its own, which cannot take it
	Shed    bool // it goes to none
}

// Route says where a job goes: to its cell; while that is not healthy, to the one it spills into, if
// that one is: never further, so that spills form no cycle or chain. A cell in slow start without such
// a target takes its jobs itself, paced; an unavailable one sheds them. hasCapacity says whether the
// other cell takes one more spilled job.
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

// SpillBound returns how many jobs that a cell spills may be open in the cell that they go to, of the
// bound on that cell's jobs.
func (l *Layout) SpillBound(from, bound int) int {
	return max(1, int(l.plan.cells[from].SpillFraction*float64(bound)))
}

// CheckMigration checks the migration of a tenant before anything is done.
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
