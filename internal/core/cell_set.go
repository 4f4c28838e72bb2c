package core

import (
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A cellSet holds the cells, their assigner of workers, and the number of open jobs by affinity key.
type cellSet struct {
	all       []*cell         // the cells of the plan by index, then retired ones; one cell without a plan
	assigner  *cells.Assigner // nil without a plan
	jobsByKey map[cellKey]int // number of open jobs with an affinity key, if the plan limits it
	seed      uint64          // seed from which the cells' seeds are derived
}

// A cellKey identifies the jobs of one cell with one affinity key.
type cellKey struct {
	cell *cell
	key  uint64
}

func newCellSet(seed uint64) cellSet {
	return cellSet{jobsByKey: map[cellKey]int{}, seed: seed}
}

// notifyAll adds an event to the next step of every cell's dispatcher.
func (s *cellSet) notifyAll(e foxlift.Event) {
	for _, cl := range s.all {
		cl.notify(e)
	}
}

func (s *cellSet) remove(removed *cell) {
	s.all = slices.DeleteFunc(s.all, func(cl *cell) bool { return cl == removed })
}

// acquireKey counts a job under its cell and affinity key, and no longer under a previous cell. It returns
// false, and does not count the job, if maxJobs other jobs are counted there already.
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

// releaseKey removes a job from the count of acquireKey. It does nothing if the job is not counted.
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

// initCells creates the cells of a plan, without workers and with admission bounds of 0. The error is that of
// foxlift.New.
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

// newPlannedCell returns a cell for one index of a layout's plan, with the tenants' quotas in that cell. The
// error is that of foxlift.New.
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
