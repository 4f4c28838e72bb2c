package cells

import (
	"cmp"
	"slices"

	"github.com/benbjohnson/immutable"
)

// A Layout is the mapping of tenants and workers to cells at one moment. It is immutable; a change returns
// a new Layout that shares the unchanged parts.
type Layout struct {
	plan     *Plan
	tenants  []cellSet                   // by tenant; the last entry is for jobs without a tenant
	migrated []bool                      // by tenant: whether its cells differ from the configured ones
	workers  *immutable.Map[string, int] // cell of each worker, by worker id
	members  [][]member                  // workers of each cell, sorted by id
}

// A member is a worker of a cell, with the hash of its id.
type member struct {
	id   string
	hash uint64
}

// NewLayout returns the layout of a plan, without workers.
func NewLayout(p *Plan) *Layout {
	return &Layout{
		plan:     p,
		tenants:  p.tenants,
		migrated: make([]bool, len(p.tenants)),
		workers:  immutable.NewMap[string, int](nil),
		members:  make([][]member, len(p.cells)),
	}
}

// Plan returns the plan of the layout.
func (l *Layout) Plan() *Plan { return l.plan }

// tenantIndex returns a tenant's index in the tables. Unknown tenants, and -1 for none, share the last index.
func (l *Layout) tenantIndex(tenant int) int {
	if tenant < 0 || tenant >= len(l.tenants) {
		return len(l.tenants) - 1
	}
	return tenant
}

// Cell returns the index of the cell that serves a tenant's jobs with an affinity key. An unknown tenant
// counts as none. It does not allocate.
func (l *Layout) Cell(tenant int, key uint64) int {
	set := l.tenants[l.tenantIndex(tenant)]
	if len(set) == 1 {
		return int(set[0])
	}
	return l.plan.rendezvous(mix(key+goldenRatio), set)
}

// ServedBy reports whether a cell is among the cells that serve a tenant.
func (l *Layout) ServedBy(tenant, cell int) bool {
	return slices.Contains(l.tenants[l.tenantIndex(tenant)], int32(cell))
}

// Migrated reports whether a tenant's cells differ from the configured ones.
func (l *Layout) Migrated(tenant int) bool { return l.migrated[l.tenantIndex(tenant)] }

// ConfiguredIn reports whether a cell is among the configured cells of a tenant.
func (l *Layout) ConfiguredIn(tenant, cell int) bool {
	return slices.Contains(l.plan.tenants[l.tenantIndex(tenant)], int32(cell))
}

// SameCells reports whether a tenant's cells have the same names, in the same order, in another layout.
func (l *Layout) SameCells(other *Layout, tenant int) bool {
	tenantCells, otherCells := l.tenants[l.tenantIndex(tenant)], other.tenants[other.tenantIndex(tenant)]
	return slices.EqualFunc(tenantCells, otherCells, func(a, b int32) bool {
		return l.plan.cells[a].Name == other.plan.cells[b].Name
	})
}

// Quotas returns each tenant's quota within a cell, in requests per second by tenant: the whole quota if only
// this cell serves the tenant, a part in proportion to the cells' fractions if several do, and 0 if the cell
// does not serve the tenant.
func (l *Layout) Quotas(cell int) []float64 {
	quotas := make([]float64, len(l.plan.quotas))
	for tenant, quota := range l.plan.quotas {
		if !l.ServedBy(tenant, cell) {
			continue
		}
		sum := 0.0
		for _, c := range l.tenants[tenant] {
			sum += l.plan.fractions[c]
		}
		quotas[tenant] = quota * l.plan.fractions[cell] / sum
	}
	return quotas
}

// WorkerCell returns the index of the cell of a worker; ok is false if the worker is in no cell.
func (l *Layout) WorkerCell(id string) (cell int, ok bool) { return l.workers.Get(id) }

// WorkerCount returns the number of workers of a cell.
func (l *Layout) WorkerCount(cell int) int { return len(l.members[cell]) }

// EachWorker calls f with the id of each worker of a cell, sorted by id, until f returns false.
func (l *Layout) EachWorker(cell int, f func(id string) bool) {
	for _, m := range l.members[cell] {
		if !f(m.id) {
			return
		}
	}
}

// Workers returns the sorted ids of a cell's workers.
func (l *Layout) Workers(cell int) []string {
	ids := make([]string, len(l.members[cell]))
	for i, m := range l.members[cell] {
		ids[i] = m.id
	}
	return ids
}

// KeyWorkers returns the ids of the workers of a cell that may receive the jobs with an affinity key. It
// returns nil, which means all workers, if the key is 0, the plan sets no limit, or the cell has no more
// workers than the limit. They are the workers that rendezvous hashing ranks first, so that adding or removing
// one worker of the cell changes at most one of them.
func (l *Layout) KeyWorkers(cell int, key uint64) []string {
	limit := l.plan.workersPerKey
	if key == 0 || limit <= 0 || len(l.members[cell]) <= limit {
		return nil
	}
	type ranked struct {
		id    string
		score uint64
	}
	descending := func(a, b ranked) int { return cmp.Compare(b.score, a.score) }
	best := make([]ranked, 0, limit+1)
	salt := mix(key ^ l.plan.cellHashes[cell])
	for _, m := range l.members[cell] {
		r := ranked{m.id, mix(salt ^ m.hash)}
		rank, _ := slices.BinarySearchFunc(best, r, descending)
		if rank < limit {
			best = slices.Insert(best, rank, r)[:min(len(best)+1, limit)]
		}
	}
	ids := make([]string, len(best))
	for i, r := range best {
		ids[i] = r.id
	}
	return ids
}
