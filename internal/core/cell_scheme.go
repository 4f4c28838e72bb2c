package core

// What any goroutine may read of the cells: the layout, the bounds and the gate.

import "github.com/vatu-meals/foxlift/internal/cells"

// A scheme is what any goroutine may read of the cells: it is replaced whole.
type scheme struct {
	layout      *cells.Layout
	gate        *cells.Admission
	jobs        []int // bound by cell
	connections []int
}

// newScheme makes a scheme with a gate that is empty. total is how many jobs may be
// open, which is also what the submitters' connections may hold.
func newScheme(l *cells.Layout, total int) *scheme {
	s := &scheme{layout: l}
	p := l.Plan()
	for i := range p.Cells() {
		s.jobs = append(s.jobs, p.JobBound(i, total))
		s.connections = append(s.connections, p.ConnectionBound(i, total))
	}
	s.gate = cells.NewAdmission(s.jobs, p.Tenants())
	return s
}

// with returns the scheme with another layout of the same plan.
func (s *scheme) with(l *cells.Layout) *scheme {
	n := *s
	n.layout = l
	return &n
}

// A place is a job's in a gate.
type place struct {
	gate         *cells.Admission
	cell, tenant int
}

func (p *place) leave() {
	if p.gate != nil {
		p.gate.Leave(p.cell, p.tenant)
		p.gate = nil
	}
}

// enter takes a job's place in its cell's part of the scheduler.
func (s *scheme) enter(c *Core, j *Job) bool {
	tenant := c.tenantOf(j.Tenant)
	cell := s.layout.Cell(tenant, j.Key)
	if !s.gate.Enter(cell, tenant) {
		return false
	}
	j.reservation = place{s.gate, cell, tenant}
	return true
}

func (c *Core) tenantOf(name string) int {
	if t, ok := c.settings.Tenants[name]; ok {
		return t
	}
	return -1
}

// Cell names the cell of a tenant's jobs with a key, and how many connections that
// cell's submitters may have; "" without cells. Any goroutine may call it.
func (c *Core) Cell(tenant string, key uint64) (name string, connections int) {
	s := c.scheme.Load()
	if s == nil {
		return "", 0
	}
	i := s.layout.Cell(c.tenantOf(tenant), key)
	return s.layout.Plan().Name(i), s.connections[i]
}
