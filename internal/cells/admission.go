package cells

import "sync"

// An Admission bounds the open jobs of each cell before anything is queued for it, so that a flood of
// one cell's tenants takes no memory and no dispatch from the rest. Within a cell the first half of the
// bound is for any tenant; past it each tenant with open jobs may have an even part, so that one cannot
// shut out the others. It is safe for concurrent use.
type Admission struct {
	mu      sync.Mutex
	bounds  []int   // by cell
	open    []int   // by cell
	tenants [][]int // open, by cell and tenant
	active  []int   // tenants with open jobs, by cell
	shed    []int64 // by cell
}

// NewAdmission returns an Admission with a bound for each cell, for n tenants (and one more for jobs of
// none).
func NewAdmission(bounds []int, n int) *Admission {
	a := &Admission{
		bounds: bounds,
		open:   make([]int, len(bounds)),
		active: make([]int, len(bounds)),
		shed:   make([]int64, len(bounds)),
	}
	for range bounds {
		a.tenants = append(a.tenants, make([]int, n+1))
	}
	return a
}

// tenantSlot returns a tenant's index in the tables; unknown tenants share the last one.
func (a *Admission) tenantSlot(tenant int) int {
	if n := len(a.tenants[0]) - 1; tenant < 0 || tenant > n {
		return n
	}
	return tenant
}

// Admit takes a reservation in a cell for a tenant, if its bound allows one.
func (a *Admission) Admit(cell, tenant int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.tenantSlot(tenant)
	reserved := a.tenants[cell][slot]
	active := a.active[cell]
	if reserved == 0 {
		active++
	}
	bound := a.bounds[cell]
	half := (bound + 1) / 2
	evenPart := max(1, bound/max(2, active))
	if a.open[cell] >= bound || a.open[cell] >= half && reserved >= evenPart {
		a.shed[cell]++
		return false
	}
	a.addLocked(cell, slot, 1)
	return true
}

// Reserve takes a reservation past the bound if need be: for a job that is open already.
func (a *Admission) Reserve(cell, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addLocked(cell, a.tenantSlot(tenant), 1)
}

// Release gives a reservation back.
func (a *Admission) Release(cell, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addLocked(cell, a.tenantSlot(tenant), -1)
}

// Transfer moves a reservation from one cell to another, past its bound if need be: a job that was
// admitted stays so.
func (a *Admission) Transfer(from, to, tenant int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.tenantSlot(tenant)
	a.addLocked(from, slot, -1)
	a.addLocked(to, slot, 1)
}

func (a *Admission) addLocked(cell, slot, n int) {
	if a.tenants[cell][slot] == 0 {
		a.active[cell]++
	}
	a.tenants[cell][slot] += n
	a.open[cell] += n
	if a.tenants[cell][slot] == 0 {
		a.active[cell]--
	}
}

// Open returns a cell's open jobs, its bound, and how many jobs it has shed.
func (a *Admission) Open(cell int) (open, bound int, shed int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open[cell], a.bounds[cell], a.shed[cell]
}
