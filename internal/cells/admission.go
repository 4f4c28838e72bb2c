package cells

import "sync"

// An Admission bounds the open jobs of each cell before anything is queued for it, so that a flood of
// one cell's tenants takes no memory and no dispatch from the rest. Within a cell the first half of the
// bound is for any tenant; past it each tenant with open jobs may have an even part, so that one cannot
// shut out the others. It is safe for concurrent use.
type Admission struct {
	mu            sync.Mutex
	bounds        []int   // by cell
	openByCell    []int   // by cell
	openByTenant  [][]int // open, by cell and tenant
	activeTenants []int   // tenants with open jobs, by cell
	shed          []int64 // by cell
}

// NewAdmission returns an Admission with a bound for each cell, for n tenants (and one more for jobs of
// none).
func NewAdmission(bounds []int, n int) *Admission {
	a := &Admission{
		bounds:        bounds,
		openByCell:    make([]int, len(bounds)),
		activeTenants: make([]int, len(bounds)),
		shed:          make([]int64, len(bounds)),
	}
	for range bounds {
		a.openByTenant = append(a.openByTenant, make([]int, n+1))
	}
	return a
}

// tenantSlot returns a tenant's index in the tables; unknown tenants share the last one.
func (a *Admission) tenantIndex(tenant int) int {
	if n := len(a.openByTenant[0]) - 1; tenant < 0 || tenant > n {
		return n
	}
	return tenant
}

// Admit takes a reservation in a cell for a tenant, if its bound allows one.
func (a *Admission) Admit(cell, tenant int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	tenantIndex := a.tenantIndex(tenant)
	reserved := a.openByTenant[cell][tenantIndex]
	active := a.activeTenants[cell]
	if reserved == 0 {
		active++
	}
	bound := a.bounds[cell]
	sharedBound := (bound + 1) / 2
	tenantShare := max(1, bound/max(2, active))
	if a.openByCell[cell] >= bound || a.openByCell[cell] >= sharedBound && reserved >= tenantShare {
		a.shed[cell]++
		return false
	}
	a.addLocked(cell, tenantIndex, 1)
	return true
}

// Reserve takes a reservation past the bound if need be: for a job that is open already.
func (a *Admission) Reserve(cell, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addLocked(cell, a.tenantIndex(tenant), 1)
}

// Release gives a reservation back.
func (a *Admission) Release(cell, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addLocked(cell, a.tenantIndex(tenant), -1)
}

// Transfer moves a reservation from one cell to another, past its bound if need be: a job that was
// admitted stays so.
func (a *Admission) Transfer(from, to, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.tenantIndex(tenant)
	a.addLocked(from, slot, -1)
	a.addLocked(to, slot, 1)
}

func (a *Admission) addLocked(cell, tenantIndex, delta int) {
	if a.openByTenant[cell][tenantIndex] == 0 {
		a.activeTenants[cell]++
	}
	a.openByTenant[cell][tenantIndex] += delta
	a.openByCell[cell] += delta
	if a.openByTenant[cell][tenantIndex] == 0 {
		a.activeTenants[cell]--
	}
}

// Open returns a cell's open jobs, its bound, and how many jobs it has shed.
func (a *Admission) Usage(cell int) (open, bound int, shed int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.openByCell[cell], a.bounds[cell], a.shed[cell]
}
