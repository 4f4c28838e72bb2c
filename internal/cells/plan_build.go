package cells

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	noCell = -1

	// Cells that no tenant's quota asks for get a quarter of an even part of what the file leaves,
	// or of minUnassigned where it leaves nothing.
	minUnassignedFraction = 0.01
	unassignedDivisor     = 4
)

// A planBuilder makes a Plan of a Spec and gathers what is wrong with it.
type planBuilder struct {
	plan   *Plan
	errors []SpecError
}

// NewPlan checks a spec against the platform's tenants, its number of zones and the names of its worker
// kinds in their order. It returns all errors.
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

func (b *planBuilder) addError(subject, format string, args ...any) {
	b.errors = append(b.errors, SpecError{subject, fmt.Sprintf(format, args...)})
}

// findCell returns the index of the cell that a subject names.
func (b *planBuilder) findCell(subject, name string) int {
	i, ok := b.plan.cellIndex[name]
	if !ok {
		b.addError(subject, "there is no cell %q", name)
	}
	return i
}

func (b *planBuilder) addCells() {
	p := b.plan
	if len(p.cells) == 0 {
		b.addError("cells", "no cell is given")
	}
	for i, cell := range p.cells {
		if _, duplicate := p.cellIndex[cell.Name]; duplicate {
			b.addError("cell "+cell.Name, "it is there twice")
		}
		p.cellIndex[cell.Name] = i
		p.cellHashes = append(p.cellHashes, xxhash.Sum64String("cell "+cell.Name))
	}
}

func (b *planBuilder) addTenants(tenants []Tenant) {
	p := b.plan
	for i, tenant := range tenants {
		p.tenantIndex[tenant.Name] = i
		p.tenantNames = append(p.tenantNames, tenant.Name)
		p.quotas = append(p.quotas, tenant.Quota)
	}
	p.tenants = make([]cellSet, len(tenants)+1)
}

// assignNamedTenants gives the tenants that cells name to them, and each cell the one it spills into.
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

func (b *planBuilder) assignSplits(splits []Split) {
	for _, split := range splits {
		var set cellSet
		for _, name := range split.Cells {
			set = append(set, int32(b.findCell("split "+split.Tenant, name)))
		}
		b.assignTenant(split.Tenant, set)
	}
}

func (b *planBuilder) assignTenant(name string, set cellSet) {
	tenant, ok := b.plan.tenantIndex[name]
	switch {
	case !ok:
		b.addError("tenant "+name, "the platform has no such tenant")
	case b.plan.tenants[tenant] != nil:
		b.addError("tenant "+name, "it has a place already")
	default:
		b.plan.tenants[tenant] = set
	}
}

// setWeights sets the capacity of each kind's workers.
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

// setFractions gives each cell its fraction of capacity: what the file says, and the rest in the
// proportion of quotas, so that each tenant's part of the fleet stays what it was.
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

// openQuotas returns the quotas of the tenants of each cell whose fraction the file leaves open, and
// their sum.
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

// assignUnnamed gives each tenant that the file does not name a cell: the default one, or one by hash.
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

func tenantHash(name string) uint64 { return xxhash.Sum64String("tenant " + name) }
