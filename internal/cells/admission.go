package cells

import "sync"

// An Admission limits the number of open jobs of each cell before a job is queued, so that a flood from the
// tenants of one cell uses no memory or dispatch capacity of the other cells. Within a cell the first half
// of the bound is available to any tenant. Beyond it, each tenant with open jobs is limited to an equal
// share of the bound, at most half of it and at least one job, so that one tenant cannot exclude the others.
// It is safe for concurrent use.
type Admission struct {
	mu            sync.Mutex
	bounds        []int   // maximum open jobs, by cell
	openByCell    []int   // open jobs, by cell
	openByTenant  [][]int // open jobs, by cell and tenant
	activeTenants []int   // number of tenants with open jobs, by cell
	shed          []int64 // number of jobs that Admit has refused, by cell
}

// NewAdmission returns an Admission with the given bound for each cell (0 admits no job), for n tenants and
// one extra entry for jobs without a tenant. There must be at least one cell.
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

// tenantIndex returns a tenant's index in the tables. Unknown tenants, and -1 for none, share the last index.
func (a *Admission) tenantIndex(tenant int) int {
	if n := len(a.openByTenant[0]) - 1; tenant < 0 || tenant > n {
		return n
	}
	return tenant
}

// Admit reserves capacity for one job of a tenant in a cell. It returns false, and counts the job as shed,
// if the bounds of the cell or the tenant do not allow another job.
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

// Reserve reserves capacity for a job that is already open, even if the cell then exceeds its bound.
func (a *Admission) Reserve(cell, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addLocked(cell, a.tenantIndex(tenant), 1)
}

// Release returns a reservation of Admit or Reserve.
func (a *Admission) Release(cell, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addLocked(cell, a.tenantIndex(tenant), -1)
}

// Transfer moves a reservation from one cell to another, even if the other cell then exceeds its bound: a
// job that was admitted is not refused later.
func (a *Admission) Transfer(from, to, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.tenantIndex(tenant)
	a.addLocked(from, slot, -1)
	a.addLocked(to, slot, 1)
}

// addLocked changes the open jobs of a tenant in a cell by delta. The caller holds mu.
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

// Usage returns the number of open jobs of a cell, its bound, and the number of jobs that Admit has refused.
func (a *Admission) Usage(cell int) (open, bound int, shed int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.openByCell[cell], a.bounds[cell], a.shed[cell]
}
