package core

// What any goroutine may read of the cells: the layout, the bounds and the gate.

import "github.com/vatu-meals/foxlift/internal/cells"

// A scheme is what any goroutine may read of the cells: it is replaced whole.
type placement struct {
	layout           *cells.Layout
	admission        *cells.Admission
	jobBounds        []int // bound by cell
	connectionBounds []int
}

// newPlacement makes a scheme with a gate that is empty. total is how many jobs may be
// open, which is also what the submitters' connections may hold.
func newPlacement(l *cells.Layout, total int) *placement {
	s := &placement{layout: l}
	p := l.Plan()
	for i := range p.CellCount() {
		s.jobBounds = append(s.jobBounds, p.JobBound(i, total))
		s.connectionBounds = append(s.connectionBounds, p.ConnectionBound(i, total))
	}
	s.admission = cells.NewAdmission(s.jobBounds, p.TenantCount())
	return s
}

// with returns the scheme with another layout of the same plan.
func (s *placement) withLayout(l *cells.Layout) *placement {
	n := *s
	n.layout = l
	return &n
}

// A place is a job's in a gate.
type reservation struct {
	admission    *cells.Admission
	cell, tenant int
}

func (p *reservation) release() {
	if p.admission != nil {
		p.admission.Release(p.cell, p.tenant)
		p.admission = nil
	}
}

// enter takes a job's place in its cell's part of the scheduler.
func (s *placement) reserve(c *Core, j *Job) bool {
	tenant := c.tenantIndex(j.Tenant)
	cell := s.layout.Cell(tenant, j.Key)
	if !s.admission.TryReserve(cell, tenant) {
		return false
	}
	j.reservation = reservation{s.admission, cell, tenant}
	return true
}

func (c *Core) tenantIndex(name string) int {
	if t, ok := c.settings.Tenants[name]; ok {
		return t
	}
	return -1
}

// Cell names the cell of a tenant's jobs with a key, and how many connections that
// cell's submitters may have; "" without cells. Any goroutine may call it.
func (c *Core) Cell(tenant string, key uint64) (name string, connections int) {
	s := c.placement.Load()
	if s == nil {
		return "", 0
	}
	i := s.layout.Cell(c.tenantIndex(tenant), key)
	return s.layout.Plan().CellName(i), s.connectionBounds[i]
}
