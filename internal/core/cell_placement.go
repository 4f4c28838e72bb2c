package core

import "github.com/vatu-meals/foxlift/internal/cells"

// A placement says which cell has which tenants and workers, and what each cell may hold. Any goroutine
// may read it; it is replaced whole.
type placement struct {
	layout           *cells.Layout
	admission        *cells.Admission
	jobBounds        []int // by cell
	connectionBounds []int
}

// newPlacement makes a placement whose admission bounds nobody uses yet. maxOpen is how many jobs may be
// open, which is also how many connections the clients may hold.
func newPlacement(layout *cells.Layout, maxOpen int) *placement {
	p := &placement{layout: layout}
	plan := layout.Plan()
	for i := range plan.CellCount() {
		p.jobBounds = append(p.jobBounds, plan.JobBound(i, maxOpen))
		p.connectionBounds = append(p.connectionBounds, plan.ConnectionBound(i, maxOpen))
	}
	p.admission = cells.NewAdmission(p.jobBounds, plan.TenantCount())
	return p
}

// withLayout returns the placement with another layout of the same plan.
func (p *placement) withLayout(layout *cells.Layout) *placement {
	changed := *p
	changed.layout = layout
	return &changed
}

// reserve takes a place in the admission bound of the job's cell; false if there is none.
func (p *placement) reserve(j *Job, tenant int) bool {
	cell := p.layout.Cell(tenant, j.Key)
	if !p.admission.Admit(cell, tenant) {
		return false
	}
	j.reservation = reservation{p.admission, cell, tenant}
	return true
}

// A reservation is a job's place in its cell's admission bound. The zero value is none.
type reservation struct {
	admission    *cells.Admission
	cell, tenant int
}

// transfer takes the place over to another cell.
func (r *reservation) transfer(cell int) {
	if r.admission != nil && r.cell != cell {
		r.admission.Transfer(r.cell, cell, r.tenant)
		r.cell = cell
	}
}

// release gives the place up.
func (r *reservation) release() {
	if r.admission != nil {
		r.admission.Release(r.cell, r.tenant)
		r.admission = nil
	}
}

// tenantIndex returns the index of a tenant in the settings, or noTenant.
func (c *Core) tenantIndex(name string) int {
	if t, ok := c.settings.Tenants[name]; ok {
		return t
	}
	return noTenant
}

// Cell names the cell of a tenant's jobs with an affinity key, and how many connections that cell's
// clients may have; "" without cells. Any goroutine may call it.
func (c *Core) Cell(tenant string, key uint64) (name string, maxConnections int) {
	p := c.placement.Load()
	if p == nil {
		return "", 0
	}
	i := p.layout.Cell(c.tenantIndex(tenant), key)
	return p.layout.Plan().CellName(i), p.connectionBounds[i]
}
