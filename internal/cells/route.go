package cells

import "errors"

// Errors of moves, in the operators' words.
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

const (
	Healthy     Condition = iota // it has a warm node
	SlowStart                    // all its nodes are still warming up
	Unavailable                  // it has no node
)

// A Way is where a job goes.
type Route struct {
	Cell    int
	Spilled bool // out of its own cell, which cannot take it
	Shed    bool // nowhere
}

// Route says where a job goes: to its cell; while that is empty or cold, to the one
// it spills into, if that one is able: never further, so that spills cannot go round
// or on. A cold cell without such a way takes its jobs itself, paced; an empty one
// refuses them. room says whether the other cell has room for one more spilled job.
func (l *Layout) Route(tenant int, key uint64, condition func(cell int) Condition, room func(cell int) bool) Route {
	home := l.Cell(tenant, key)
	state := condition(home)
	if state == Healthy {
		return Route{Cell: home}
	}
	if to := l.plan.spill[home]; to >= 0 && condition(to) == Healthy && room(to) {
		return Route{Cell: to, Spilled: true}
	}
	return Route{Cell: home, Shed: state == Unavailable}
}

// SpillBound returns how many jobs that a cell spills may be open in the cell that
// they go to, of the bound on that cell's jobs.
func (l *Layout) SpillBound(from, bound int) int {
	return max(1, int(l.plan.cells[from].SpillPart*float64(bound)))
}

// CheckMigration checks a move of a tenant before anything is done.
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
