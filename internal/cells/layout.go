package cells

import (
	"cmp"
	"slices"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// A Layout is a whole map at one moment: tenants to cells and nodes to cells. It is
// immutable; a change makes another that shares what has not changed.
type Layout struct {
	plan     *Plan
	tenants  []cellSet // by tenant, the last for jobs of none
	migrated []bool    // by tenant: its place is not the file's
	workers  *immutable.Map[string, int]
	members  [][]member // by cell, ordered by id
}

// A member is a node of a cell.
type member struct {
	id   string
	hash uint64
}

// NewLayout returns a plan's layout with no nodes.
func NewLayout(p *Plan) *Layout {
	return &Layout{
		plan: p, tenants: p.tenants, migrated: make([]bool, len(p.tenants)),
		workers: immutable.NewMap[string, int](nil), members: make([][]member, len(p.cells)),
	}
}

// Plan returns the plan of the layout.
func (l *Layout) Plan() *Plan { return l.plan }

// slot is where a tenant stands in the tables; tenants that are unknown share one.
func (l *Layout) tenantSlot(tenant int) int {
	if tenant < 0 || tenant >= len(l.tenants) {
		return len(l.tenants) - 1
	}
	return tenant
}

// Cell returns the cell of a tenant's job. It does not allocate.
func (l *Layout) Cell(tenant int, key uint64) int {
	p := l.tenants[l.tenantSlot(tenant)]
	if len(p) == 1 {
		return int(p[0])
	}
	return l.plan.rendezvous(mix(key+0x9e3779b97f4a7c15), p)
}

// Lives reports whether jobs of a tenant may have this cell as theirs.
func (l *Layout) ServedBy(tenant, cell int) bool {
	return slices.Contains(l.tenants[l.tenantSlot(tenant)], int32(cell))
}

// Moved reports whether the tenant is elsewhere than the file says.
func (l *Layout) Migrated(tenant int) bool { return l.migrated[l.tenantSlot(tenant)] }

// Home reports whether the file has a tenant in a cell.
func (l *Layout) ConfiguredIn(tenant, cell int) bool {
	return slices.Contains(l.plan.tenants[l.tenantSlot(tenant)], int32(cell))
}

// SameCells reports whether a tenant is where another layout has it.
func (l *Layout) SameCells(o *Layout, tenant int) bool {
	return slices.EqualFunc(l.tenants[l.tenantSlot(tenant)], o.tenants[o.tenantSlot(tenant)], func(a, b int32) bool {
		return l.plan.cells[a].Name == o.plan.cells[b].Name
	})
}

// Quotas returns the tenants' quotas within a cell: all of it where the tenant lives
// there alone, a part in proportion to the shares where it is split, 0 elsewhere.
func (l *Layout) Quotas(cell int) []float64 {
	q := make([]float64, len(l.plan.quotas))
	for t, quota := range l.plan.quotas {
		if !l.ServedBy(t, cell) {
			continue
		}
		sum := 0.0
		for _, c := range l.tenants[t] {
			sum += l.plan.fractions[c]
		}
		q[t] = quota * l.plan.fractions[cell] / sum
	}
	return q
}

// WorkerCell returns the cell of a node; ok is false for one that is in none.
func (l *Layout) WorkerCell(id string) (cell int, ok bool) { return l.workers.Get(id) }

// Size returns how many nodes a cell has.
func (l *Layout) WorkerCount(cell int) int { return len(l.members[cell]) }

// Each calls f with the nodes of a cell, in order, until it returns false.
func (l *Layout) EachWorker(cell int, f func(id string) bool) {
	for _, m := range l.members[cell] {
		if !f(m.id) {
			return
		}
	}
}

// Nodes returns the ids of a cell's nodes, in order.
func (l *Layout) Workers(cell int) []string {
	ids := make([]string, len(l.members[cell]))
	for i, m := range l.members[cell] {
		ids[i] = m.id
	}
	return ids
}

// KeyWorkers returns the nodes of a cell to which the jobs with a key may go; nil
// means all. They are those that rendezvous hashing ranks first, so that a node more
// or less changes one of them at most.
func (l *Layout) KeyWorkers(cell int, key uint64) []string {
	k := l.plan.keyWorkers
	if key == 0 || k <= 0 || len(l.members[cell]) <= k {
		return nil
	}
	type ranked struct {
		id    string
		score uint64
	}
	best := make([]ranked, 0, k+1)
	salt := mix(key ^ l.plan.cellHashes[cell])
	for _, m := range l.members[cell] {
		r := ranked{m.id, mix(salt ^ m.hash)}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
		if at < k {
			best = slices.Insert(best, at, r)[:min(len(best)+1, k)]
		}
	}
	ids := make([]string, len(best))
	for i, r := range best {
		ids[i] = r.id
	}
	return ids
}

// WithChanges returns the layout after nodes have changed cells.
func (l *Layout) WithChanges(changes []Change) *Layout {
	if len(changes) == 0 {
		return l
	}
	n := *l
	n.members = slices.Clone(l.members)
	copied := make([]bool, len(n.members))
	own := func(c int) {
		if !copied[c] {
			copied[c], n.members[c] = true, slices.Clone(n.members[c])
		}
	}
	if len(changes) > bulkChanges {
		b := immutable.NewMapBuilder[string, int](nil)
		for it := l.workers.Iterator(); !it.Done(); {
			id, c, _ := it.Next()
			b.Set(id, c)
		}
		for _, ch := range changes {
			if ch.To < 0 {
				b.Delete(ch.ID)
			} else {
				b.Set(ch.ID, ch.To)
			}
		}
		n.workers = b.Map()
	}
	byID := func(m member, id string) int { return cmp.Compare(m.id, id) }
	leaving := map[string]bool{}
	var come []Change
	for _, ch := range changes {
		if ch.From >= 0 {
			leaving[ch.ID] = true
			own(ch.From)
		}
		if ch.To >= 0 {
			own(ch.To)
			come = append(come, ch)
		}
		if len(changes) > bulkChanges {
			continue
		}
		if ch.To < 0 {
			n.workers = n.workers.Delete(ch.ID)
		} else {
			n.workers = n.workers.Set(ch.ID, ch.To)
		}
	}
	for c := range n.members {
		if copied[c] && len(leaving) > 0 {
			n.members[c] = slices.DeleteFunc(n.members[c], func(m member) bool { return leaving[m.id] })
		}
	}
	sorted := make([]bool, len(n.members))
	for _, ch := range come {
		m := member{ch.ID, xxhash.Sum64String(ch.ID)}
		if len(come) > bulkChanges {
			n.members[ch.To] = append(n.members[ch.To], m)
			sorted[ch.To] = true
			continue
		}
		at, _ := slices.BinarySearchFunc(n.members[ch.To], ch.ID, byID)
		n.members[ch.To] = slices.Insert(n.members[ch.To], at, m)
	}
	for c := range sorted {
		if sorted[c] {
			slices.SortFunc(n.members[c], func(a, b member) int { return cmp.Compare(a.id, b.id) })
		}
	}
	return &n
}

const bulkChanges = 64 // from which a table is sorted or built once, not for each

// WithTenant returns the layout after a tenant has gone to a cell.
func (l *Layout) WithTenant(tenant, cell int) *Layout {
	return l.withCells(tenant, cellSet{int32(cell)}, true)
}

// Restored returns the layout with a tenant where the file has it.
func (l *Layout) Restored(tenant int) *Layout {
	return l.withCells(tenant, l.plan.tenants[tenant], false)
}

func (l *Layout) withCells(tenant int, p cellSet, moved bool) *Layout {
	n := *l
	n.tenants, n.migrated = slices.Clone(l.tenants), slices.Clone(l.migrated)
	n.tenants[tenant], n.migrated[tenant] = p, moved && !slices.Equal(p, l.plan.tenants[tenant])
	return &n
}

// A Rescue is where a tenant of an evacuated cell goes.
type Evacuee struct{ Tenant, To int }

// Evacuation says where the tenants of a cell go while it is emptied: to the cell
// that it spills into, or spread over the others by hash, of those that may take
// them. Where there is none it is ErrNoTargetCell.
func (l *Layout) Evacuation(cell int, may func(cell int) bool) ([]Evacuee, error) {
	var others cellSet
	for c := range l.members {
		if c != cell && may(c) {
			others = append(others, int32(c))
		}
	}
	if len(others) == 0 {
		return nil, ErrNoTargetCell
	}
	if s := l.plan.spill[cell]; s >= 0 && may(s) {
		others = cellSet{int32(s)}
	}
	var rescues []Evacuee
	for t := range l.tenants {
		if !l.ServedBy(t, cell) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(l.tenants[t]), func(c int32) bool { return int(c) == cell || !may(int(c)) })
		if len(rest) == 0 {
			rest = others
		}
		name := ""
		if t < len(l.plan.tenantNames) {
			name = l.plan.tenantNames[t]
		}
		rescues = append(rescues, Evacuee{t, l.plan.rendezvous(xxhash.Sum64String("tenant "+name), rest)})
	}
	return rescues, nil
}
