package cells

import "sync"

// A Gate bounds what is open of each cell before anything is queued for it, so that
// a flood of one cell's tenants takes no place, no memory and no turn from the rest.
// Within a cell the first half of the room goes to whoever comes; past it each
// tenant with jobs open may have an even part, so that one cannot shut out the
// others. Any goroutine may use a Gate.
type Admission struct {
	mu      sync.Mutex
	bounds  []int   // by cell
	open    []int   // by cell
	tenants [][]int // open, by cell and tenant
	active  []int   // tenants with something open, by cell
	shed    []int64 // by cell
}

// NewAdmission returns a gate with a bound for each cell, for n tenants (and one more for
// those of none).
func NewAdmission(bounds []int, n int) *Admission {
	g := &Admission{bounds: bounds, open: make([]int, len(bounds)), active: make([]int, len(bounds)), shed: make([]int64, len(bounds))}
	for range bounds {
		g.tenants = append(g.tenants, make([]int, n+1))
	}
	return g
}

func (g *Admission) tenantSlot(tenant int) int {
	if n := len(g.tenants[0]) - 1; tenant < 0 || tenant > n {
		return n
	}
	return tenant
}

// Enter takes a place in a cell for a tenant, if there is one.
func (g *Admission) TryReserve(cell, tenant int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tenantSlot(tenant)
	mine := g.tenants[cell][t]
	active := g.active[cell]
	if mine == 0 {
		active++
	}
	half := (g.bounds[cell] + 1) / 2
	if g.open[cell] >= g.bounds[cell] || g.open[cell] >= half && mine >= max(1, g.bounds[cell]/max(2, active)) {
		g.shed[cell]++
		return false
	}
	g.add(cell, t, 1)
	return true
}

// Take takes a place whether there is room or not: for what is open already.
func (g *Admission) Reserve(cell, tenant int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(cell, g.tenantSlot(tenant), 1)
}

// Leave gives a place back.
func (g *Admission) Release(cell, tenant int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(cell, g.tenantSlot(tenant), -1)
}

// Move takes a place from one cell to another, past its bound if need be: what was
// taken in stays.
func (g *Admission) Transfer(from, to, tenant int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tenantSlot(tenant)
	g.add(from, t, -1)
	g.add(to, t, 1)
}

func (g *Admission) add(cell, t, n int) {
	if g.tenants[cell][t] == 0 {
		g.active[cell]++
	}
	g.tenants[cell][t] += n
	g.open[cell] += n
	if g.tenants[cell][t] == 0 {
		g.active[cell]--
	}
}

// Open returns what is open of a cell, its bound, and how often it was refused.
func (g *Admission) Open(cell int) (open, bound int, refused int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open[cell], g.bounds[cell], g.shed[cell]
}
