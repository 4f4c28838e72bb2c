package core

import (
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A cellSet holds the cells, and what is counted across their dispatchers.
type cellSet struct {
	all       []*cell // one where there is no plan; retired ones behind the plan's
	assigner  *cells.Assigner
	jobsByKey map[cellKey]int // open jobs, where the plan bounds them
	seed      uint64
}

// A cellKey is an affinity key in a cell.
type cellKey struct {
	cell *cell
	key  uint64
}

func newCellSet(seed uint64) cellSet {
	return cellSet{jobsByKey: map[cellKey]int{}, seed: seed}
}

// notifyAll keeps an event for the next step of each cell's dispatcher.
func (s *cellSet) notifyAll(e foxlift.Event) {
	for _, cl := range s.all {
		cl.notify(e)
	}
}

func (s *cellSet) remove(removed *cell) {
	s.all = slices.DeleteFunc(s.all, func(cl *cell) bool { return cl == removed })
}

// acquireKey counts a job among those with its affinity key in its cell; false if there are as many as
// may be.
func (s *cellSet) acquireKey(j *job, maxJobs int) bool {
	s.releaseKey(j)
	k := cellKey{j.cell, j.Key}
	if s.jobsByKey[k] >= maxJobs {
		return false
	}
	s.jobsByKey[k]++
	j.countedKey = k
	return true
}

// releaseKey counts a job no longer by its affinity key.
func (s *cellSet) releaseKey(j *job) {
	if j.countedKey.cell == nil {
		return
	}
	s.jobsByKey[j.countedKey]--
	if s.jobsByKey[j.countedKey] == 0 {
		delete(s.jobsByKey, j.countedKey)
	}
	j.countedKey = cellKey{}
}

// initCells makes the cells of a plan, without workers.
func (c *Core) initCells(plan *cells.Plan) error {
	layout := cells.NewLayout(plan)
	c.cells.assigner = cells.NewAssigner(plan)
	for i := range plan.CellCount() {
		cl, err := c.newPlannedCell(layout, i)
		if err != nil {
			return err
		}
		c.cells.all = append(c.cells.all, cl)
	}
	c.placement.Store(newPlacement(layout, 0)) // Start sets the bounds
	return nil
}

// newPlannedCell makes the cell that a layout's plan has at an index.
func (c *Core) newPlannedCell(layout *cells.Layout, index int) (*cell, error) {
	quotas := layout.Quotas(index)
	tenants := slices.Clone(c.settings.Module.Tenants)
	for t := range tenants {
		tenants[t].Quota = quotas[t]
	}
	cl, err := c.newCell(layout.Plan().CellName(index), tenants)
	if err != nil {
		return nil, err
	}
	cl.index, cl.quotas = index, quotas
	return cl, nil
}
