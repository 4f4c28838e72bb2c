package cells

import (
	"cmp"
	"slices"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// maxIncrementalLayoutChanges is the largest number of changes that are applied to a table one by one. With
// more changes the table of workers is rebuilt, and the changed lists of members are sorted, once.
const maxIncrementalLayoutChanges = 64

// WithChanges returns the layout after the given changes of workers' cells; l itself if there are none.
func (l *Layout) WithChanges(changes []Change) *Layout {
	if len(changes) == 0 {
		return l
	}
	next := *l
	next.workers = l.workersAfter(changes)
	next.members = l.membersAfter(changes)
	return &next
}

// workersAfter returns the cell of each worker after the changes.
func (l *Layout) workersAfter(changes []Change) *immutable.Map[string, int] {
	if len(changes) <= maxIncrementalLayoutChanges {
		workers := l.workers
		for _, change := range changes {
			if change.To < 0 {
				workers = workers.Delete(change.ID)
			} else {
				workers = workers.Set(change.ID, change.To)
			}
		}
		return workers
	}
	builder := immutable.NewMapBuilder[string, int](nil)
	for it := l.workers.Iterator(); !it.Done(); {
		id, cell, _ := it.Next()
		builder.Set(id, cell)
	}
	for _, change := range changes {
		if change.To < 0 {
			builder.Delete(change.ID)
		} else {
			builder.Set(change.ID, change.To)
		}
	}
	return builder.Map()
}

// membersAfter returns the workers of each cell after the changes. Cells without a change share their list
// with the previous layout.
func (l *Layout) membersAfter(changes []Change) [][]member {
	members := slices.Clone(l.members)
	changed := make([]bool, len(members))
	departed := map[string]bool{}
	var arrived []Change
	for _, change := range changes {
		if change.From >= 0 {
			departed[change.ID] = true
			changed[change.From] = true
		}
		if change.To >= 0 {
			arrived = append(arrived, change)
			changed[change.To] = true
		}
	}
	for cell := range members {
		if !changed[cell] {
			continue
		}
		members[cell] = slices.Clone(members[cell])
		if len(departed) > 0 {
			members[cell] = slices.DeleteFunc(members[cell], func(m member) bool { return departed[m.id] })
		}
	}
	addMembers(members, arrived)
	return members
}

// addMembers adds the arrived workers to the lists of their cells, in place.
func addMembers(members [][]member, arrived []Change) {
	bulk := len(arrived) > maxIncrementalLayoutChanges
	unsorted := make([]bool, len(members))
	for _, change := range arrived {
		cell := change.To
		added := member{change.ID, xxhash.Sum64String(change.ID)}
		if bulk {
			members[cell] = append(members[cell], added)
			unsorted[cell] = true
			continue
		}
		at, _ := slices.BinarySearchFunc(members[cell], added, byID)
		members[cell] = slices.Insert(members[cell], at, added)
	}
	for cell := range unsorted {
		if unsorted[cell] {
			slices.SortFunc(members[cell], byID)
		}
	}
}

// byID orders the workers of a cell.
func byID(a, b member) int { return cmp.Compare(a.id, b.id) }

// WithMigration returns the layout after a tenant has migrated to a cell. It does not check the migration: see
// CheckMigration.
func (l *Layout) WithMigration(tenant, cell int) *Layout {
	return l.withTenantCells(tenant, cellSet{int32(cell)}, true)
}

// WithoutMigration returns the layout with a tenant in its configured cells.
func (l *Layout) WithoutMigration(tenant int) *Layout {
	return l.withTenantCells(tenant, l.plan.tenants[tenant], false)
}

// withTenantCells returns the layout with a set of cells for a tenant. The tenant counts as migrated only if
// the set differs from its configured cells.
func (l *Layout) withTenantCells(tenant int, set cellSet, migrated bool) *Layout {
	next := *l
	next.tenants, next.migrated = slices.Clone(l.tenants), slices.Clone(l.migrated)
	next.tenants[tenant] = set
	next.migrated[tenant] = migrated && !slices.Equal(set, l.plan.tenants[tenant])
	return &next
}

// An Evacuee is a tenant of an evacuated cell and the cell that it migrates to. The last index of the table of
// tenants stands for the jobs without a tenant.
type Evacuee struct{ Tenant, To int }

// PlanEvacuation returns the target cell of each tenant of a cell that is evacuated. A tenant that other
// accepting cells serve too goes to one of these by hash, and is then no longer split. Any other tenant goes to
// the cell that the evacuated cell spills into if that accepts tenants, otherwise to one of the accepting cells
// by hash. If no other cell accepts tenants the error is ErrNoTargetCell.
func (l *Layout) PlanEvacuation(cell int, accepts func(cell int) bool) ([]Evacuee, error) {
	var targets cellSet
	for c := range l.members {
		if c != cell && accepts(c) {
			targets = append(targets, int32(c))
		}
	}
	if len(targets) == 0 {
		return nil, ErrNoTargetCell
	}
	if spill := l.plan.spillCells[cell]; spill >= 0 && accepts(spill) {
		targets = cellSet{int32(spill)}
	}
	unusable := func(c int32) bool { return int(c) == cell || !accepts(int(c)) }
	var evacuees []Evacuee
	for tenant := range l.tenants {
		if !l.ServedBy(tenant, cell) {
			continue
		}
		candidates := slices.DeleteFunc(slices.Clone(l.tenants[tenant]), unusable)
		if len(candidates) == 0 {
			candidates = targets
		}
		to := l.plan.rendezvous(tenantHash(l.plan.tenantName(tenant)), candidates)
		evacuees = append(evacuees, Evacuee{tenant, to})
	}
	return evacuees, nil
}
