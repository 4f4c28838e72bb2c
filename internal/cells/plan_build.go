package cells

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	noCell = -1 // index for no cell

	// A cell without a configured fraction whose tenants have no quota gets 1/unassignedDivisor of an equal
	// share of the capacity that the file leaves unassigned, or of minUnassignedFraction if that is larger.
	minUnassignedFraction = 0.01
	unassignedDivisor     = 4
)

// A planBuilder builds a Plan from a Spec and collects all errors of the Spec.
type planBuilder struct {
	plan   *Plan
	errors []SpecError
}

// NewPlan validates a spec against the platform's tenants and the names of its worker kinds, both in order of
// their indexes, and returns the plan for a number of zones. If the spec has errors it returns a nil plan and
// all errors. It does not check the ranges of numbers.
func NewPlan(spec *Spec, tenants []Tenant, zones int, kinds []string) (*Plan, []SpecError) {
	b := &planBuilder{plan: &Plan{
		cells:         spec.Cells,
		cellIndex:     map[string]int{},
		tenantIndex:   map[string]int{},
		zones:         zones,
		workersPerKey: spec.WorkersPerKey,
		maxJobsPerKey: spec.MaxJobsPerKey,
		requiredKinds: spec.RequiredKinds,
	}}
	b.addCells()
	b.addTenants(tenants)
	b.assignNamedTenants()
	b.assignSplits(spec.Splits)
	defaultCell := noCell
	if spec.Default != "" {
		defaultCell = b.findCell("default", spec.Default)
	}
	b.setWeights(spec.Weights, kinds)
	if len(b.errors) > 0 {
		return nil, b.errors
	}
	b.plan.setFractions(defaultCell)
	b.plan.assignUnnamed(defaultCell)
	return b.plan, nil
}

// addError records an error of the Spec.
func (b *planBuilder) addError(subject, format string, args ...any) {
	b.errors = append(b.errors, SpecError{subject, fmt.Sprintf(format, args...)})
}

// findCell returns the index of the cell with a name. If there is none it records an error of the subject and
// returns 0; NewPlan then returns no plan.
func (b *planBuilder) findCell(subject, name string) int {
	i, ok := b.plan.cellIndex[name]
	if !ok {
		b.addError(subject, "there is no cell %q", name)
	}
	return i
}

// addCells indexes the cells of the Spec by name and computes their hashes. It records an error if there is no
// cell or if a name occurs more than once.
func (b *planBuilder) addCells() {
	p := b.plan
	if len(p.cells) == 0 {
		b.addError("cells", "no cell is configured")
	}
	for i, cell := range p.cells {
		if _, duplicate := p.cellIndex[cell.Name]; duplicate {
			b.addError("cell "+cell.Name, "the cell is configured more than once")
		}
		p.cellIndex[cell.Name] = i
		p.cellHashes = append(p.cellHashes, xxhash.Sum64String("cell "+cell.Name))
	}
}

// addTenants adds the platform's tenants, without cells.
func (b *planBuilder) addTenants(tenants []Tenant) {
	p := b.plan
	for i, tenant := range tenants {
		p.tenantIndex[tenant.Name] = i
		p.tenantNames = append(p.tenantNames, tenant.Name)
		p.quotas = append(p.quotas, tenant.Quota)
	}
	p.tenants = make([]cellSet, len(tenants)+1)
}

// assignNamedTenants assigns the tenants that a cell names to this cell, and sets the cell that each cell
// spills into. It records an error if that cell is unknown or the cell itself.
func (b *planBuilder) assignNamedTenants() {
	p := b.plan
	for i, cell := range p.cells {
		for _, tenant := range cell.Tenants {
			b.assignTenant(tenant, cellSet{int32(i)})
		}
		p.spillCells = append(p.spillCells, noCell)
		if cell.SpillCell == "" {
			continue
		}
		p.spillCells[i] = b.findCell("spill "+cell.Name, cell.SpillCell)
		if cell.SpillCell == cell.Name {
			b.addError("spill "+cell.Name, "a cell cannot spill into itself")
		}
	}
}

// assignSplits assigns the split tenants to their sets of cells. It records an error for each unknown cell.
func (b *planBuilder) assignSplits(splits []Split) {
	for _, split := range splits {
		var set cellSet
		for _, name := range split.Cells {
			set = append(set, int32(b.findCell("split "+split.Tenant, name)))
		}
		b.assignTenant(split.Tenant, set)
	}
}

// assignTenant sets the cells of a tenant. It records an error if the tenant is unknown or already assigned.
func (b *planBuilder) assignTenant(name string, set cellSet) {
	tenant, ok := b.plan.tenantIndex[name]
	switch {
	case !ok:
		b.addError("tenant "+name, "the platform has no such tenant")
	case b.plan.tenants[tenant] != nil:
		b.addError("tenant "+name, "the tenant is already assigned to a cell or split")
	default:
		b.plan.tenants[tenant] = set
	}
}

// setWeights sets the relative capacity of the workers of each kind, 1 for kinds without a weight. It records an
// error for each unknown kind.
func (b *planBuilder) setWeights(weights map[string]float64, kinds []string) {
	p := b.plan
	p.kindWeights = make([]float64, len(kinds)+1)
	for i := range p.kindWeights {
		p.kindWeights[i] = 1
	}
	for name, weight := range weights {
		known := false
		for kind, kindName := range kinds {
			if kindName == name {
				known, p.kindWeights[kind+1] = true, weight
			}
		}
		if !known {
			b.addError("kind "+name, "the platform has no such machine kind")
		}
	}
}

// setFractions sets each cell's fraction of capacity: the configured one, or for the other cells a part of
// the remaining capacity in proportion to the quotas of their tenants, so that each tenant keeps the part of
// the fleet that it has without cells. The fractions are then scaled to a sum of 1.
func (p *Plan) setFractions(defaultCell int) {
	quotaByCell, quotaSum := p.unconfiguredQuotas(defaultCell)
	configuredSum, unconfiguredCells := 0.0, 0
	for i := range p.cells {
		configuredSum += p.cells[i].CapacityFraction
		if p.cells[i].CapacityFraction == 0 {
			unconfiguredCells++
		}
	}
	remaining := max(0, 1-configuredSum)
	sum := 0.0
	p.fractions = make([]float64, len(p.cells))
	for i := range p.cells {
		switch {
		case p.cells[i].CapacityFraction > 0:
			p.fractions[i] = p.cells[i].CapacityFraction
		case quotaSum > 0 && quotaByCell[i] > 0:
			p.fractions[i] = remaining * quotaByCell[i] / quotaSum
		default:
			p.fractions[i] = max(remaining, minUnassignedFraction) / float64(unconfiguredCells) / unassignedDivisor
		}
		sum += p.fractions[i]
	}
	for i := range p.fractions {
		p.fractions[i] /= sum
	}
}

// unconfiguredQuotas returns, for each cell without a configured fraction, the sum of its tenants' quotas,
// and the total over these cells. The quota of a split tenant counts in equal parts in its cells, that of a
// tenant that no cell or split names in the default cell; without a default cell (-1) it does not count.
func (p *Plan) unconfiguredQuotas(defaultCell int) (byCell []float64, sum float64) {
	byCell = make([]float64, len(p.cells))
	for tenant, quota := range p.quotas {
		set := p.tenants[tenant]
		if set == nil && defaultCell >= 0 {
			set = cellSet{int32(defaultCell)}
		}
		for _, cell := range set {
			if p.cells[cell].CapacityFraction == 0 {
				byCell[cell] += quota / float64(len(set))
				sum += quota / float64(len(set))
			}
		}
	}
	return byCell, sum
}

// assignUnnamed assigns each tenant that no cell or split names to the default cell, or to one by hash if
// there is no default cell.
func (p *Plan) assignUnnamed(defaultCell int) {
	for tenant := range p.tenants {
		if p.tenants[tenant] != nil {
			continue
		}
		cell := defaultCell
		if cell < 0 {
			cell = p.rendezvous(tenantHash(p.tenantName(tenant)), nil)
		}
		p.tenants[tenant] = cellSet{int32(cell)}
	}
}

// tenantHash returns the hash of a tenant's name for rendezvous hashing.
func tenantHash(name string) uint64 { return xxhash.Sum64String("tenant " + name) }
