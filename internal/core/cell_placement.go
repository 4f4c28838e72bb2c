package core

import "github.com/vatu-meals/foxlift/internal/cells"

// A placement holds the assignment of tenants and workers to cells and the admission bounds of the cells. Any
// goroutine may read it; the fields are not modified after it is published, and a change replaces the whole
// placement.
type placement struct {
	layout           *cells.Layout
	admission        *cells.Admission
	jobBounds        []int // maximum number of open jobs, by cell
	connectionBounds []int // maximum number of client connections, by cell
}

// newPlacement returns a placement without reservations. maxOpen is the scheduler's maximum number of open
// jobs, which is also the maximum number of client connections; each cell gets its part of it.
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

// withLayout returns a copy of the placement with another layout of the same plan. Both share the admission
// bounds and reservations.
func (p *placement) withLayout(layout *cells.Layout) *placement {
	changed := *p
	changed.layout = layout
	return &changed
}

// reserve reserves capacity for the job in the admission bound of its cell, and records it in j.reservation. If
// the bound of the cell or the tenant is reached, it counts the job as shed on arrival and returns false. tenant
// is an index, or noTenant.
func (p *placement) reserve(j *Job, tenant int) bool {
	cell := p.layout.Cell(tenant, j.Key)
	if !p.admission.Admit(cell, tenant) {
		return false
	}
	j.reservation = reservation{p.admission, cell, tenant}
	return true
}

// A reservation is the capacity that one job occupies in the admission bound of a cell. The zero value holds
// no capacity.
type reservation struct {
	admission    *cells.Admission
	cell, tenant int
}

// transfer moves the reservation to another cell, even if the bound of that cell is reached. It does nothing if
// no capacity is held.
func (r *reservation) transfer(cell int) {
	if r.admission != nil && r.cell != cell {
		r.admission.Transfer(r.cell, cell, r.tenant)
		r.cell = cell
	}
}

// release returns the capacity. Further calls do nothing.
func (r *reservation) release() {
	if r.admission != nil {
		r.admission.Release(r.cell, r.tenant)
		r.admission = nil
	}
}

// tenantIndex returns the index of a tenant in the settings, or noTenant if they do not have it.
func (c *Core) tenantIndex(name string) int {
	if t, ok := c.settings.Tenants[name]; ok {
		return t
	}
	return noTenant
}

// Cell returns the name of the cell that serves a tenant's jobs with an affinity key, and the maximum number
// of client connections of that cell, which is 0 before Start; "" and 0 without cells. A tenant that the
// settings do not have counts as no tenant. Any goroutine may call it.
func (c *Core) Cell(tenant string, key uint64) (name string, maxConnections int) {
	p := c.placement.Load()
	if p == nil {
		return "", 0
	}
	i := p.layout.Cell(c.tenantIndex(tenant), key)
	return p.layout.Plan().CellName(i), p.connectionBounds[i]
}
