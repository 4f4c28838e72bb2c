// Package cells confines tenants to parts of the fleet. It maps each tenant (and,
// where the operator's file says so, each key of a tenant) to a cell, and each
// execute node to one cell. Everything here is pure: no input or output, no clock,
// no randomness. Two schedulers that read the same file and hear the same machine
// list reach the same map without a word between them; a map depends on what the
// list is now, never on how it came to be so.
//
// The tenants' side is rendezvous hashing (Thaler and Ravishankar, 1998), weighted
// by shares. The nodes' side is a serial dictatorship of seats on a hash ring, see
// Assigner. docs/design/cells.md has the ways that were weighed.
package cells

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A Spec is what the operator's file says of cells.
type Spec struct {
	Cells         []Cell
	Default       string             // the cell of tenants that are not named; "": spread by hash
	Splits        []Split            // tenants that live in several cells, by key
	KeyWorkers    int                // nodes of its cell that a key's jobs may go to; 0: all
	KeyJobs       int                // open jobs that one key may have in a cell; 0: no limit
	Weights       map[string]float64 // capacity of a machine kind against others; 1 if not named
	RequiredKinds []int              // machine kinds without which some class cannot run
}

// A Cell is one part of the fleet.
type Cell struct {
	Name             string
	CapacityFraction float64 // of the fleet's capacity; 0: as its tenants' quotas are to all
	Tenants          []string
	Jobs             int     // jobs open at once; 0: its share of what the scheduler holds
	Connections      int     // of its tenants' submitters; 0: its share likewise
	Spill            string  // where jobs go while it has no warm node; "": nowhere
	SpillPart        float64 // of that cell's Jobs, the most that spilled jobs may take
}

// A Split spreads a tenant over several cells by key.
type Split struct {
	Tenant string
	Cells  []string
}

// A Tenant is one of the platform's tenants, in its order.
type Tenant struct {
	Name  string
	Quota float64
}

// A Plan is a Spec that was checked against the platform's tenants and kinds.
type Plan struct {
	cells         []Cell
	cellIndex     map[string]int
	fractions     []float64 // of each cell; they sum to 1
	cellHashes    []uint64  // hashes of the cells' names
	spill         []int     // -1: nowhere
	tenants       []cellSet // by tenant; the last is for jobs of no tenant
	tenantNames   []string  // of the tenants
	quotas        []float64
	tenantIndex   map[string]int
	zones         int
	weights       []float64 // by kind + 1; kind -1 is unknown
	requiredKinds []int
	keyWorkers    int
	keyJobs       int
}

// A place is where a tenant lives: one cell, or several by key.
type cellSet []int32

// A Fault is one thing wrong with a Spec, and what of it is at fault: "cells",
// "default", "cell NAME", "spill NAME", "split NAME", "kind NAME" or "tenant NAME".
type SpecError struct{ Subject, Text string }

func (f SpecError) Error() string { return f.Subject + ": " + f.Text }

// NewPlan checks a spec. zones is how many zones there are, kinds are the names of
// the machine kinds in their order. It returns all faults.
func NewPlan(spec *Spec, tenants []Tenant, zones int, kinds []string) (*Plan, []SpecError) {
	p := &Plan{
		cells: spec.Cells, cellIndex: map[string]int{}, tenantIndex: map[string]int{}, zones: zones,
		keyWorkers: spec.KeyWorkers, keyJobs: spec.KeyJobs, weights: make([]float64, len(kinds)+1),
		requiredKinds: spec.RequiredKinds,
	}
	var faults []SpecError
	fault := func(subject, format string, args ...any) {
		faults = append(faults, SpecError{subject, fmt.Sprintf(format, args...)})
	}
	if len(spec.Cells) == 0 {
		fault("cells", "no cell is given")
	}
	for i, c := range spec.Cells {
		if _, twice := p.cellIndex[c.Name]; twice {
			fault("cell "+c.Name, "it is there twice")
		}
		p.cellIndex[c.Name] = i
		p.cellHashes = append(p.cellHashes, xxhash.Sum64String("cell "+c.Name))
	}
	find := func(who, name string) int {
		i, ok := p.cellIndex[name]
		if !ok {
			fault(who, "there is no cell %q", name)
		}
		return i
	}
	for i, t := range tenants {
		p.tenantIndex[t.Name] = i
		p.tenantNames, p.quotas = append(p.tenantNames, t.Name), append(p.quotas, t.Quota)
	}
	p.tenants = make([]cellSet, len(tenants)+1)
	put := func(tenant string, cells cellSet) {
		t, ok := p.tenantIndex[tenant]
		switch {
		case !ok:
			fault("tenant "+tenant, "the platform has no such tenant")
		case p.tenants[t] != nil:
			fault("tenant "+tenant, "it has a place already")
		default:
			p.tenants[t] = cells
		}
	}
	for i, c := range spec.Cells {
		for _, t := range c.Tenants {
			put(t, cellSet{int32(i)})
		}
		p.spill = append(p.spill, -1)
		if c.Spill != "" {
			p.spill[i] = find("spill "+c.Name, c.Spill)
			if c.Spill == c.Name {
				fault("spill "+c.Name, "a cell cannot spill into itself")
			}
		}
	}
	for _, s := range spec.Splits {
		var cells cellSet
		for _, name := range s.Cells {
			cells = append(cells, int32(find("split "+s.Tenant, name)))
		}
		put(s.Tenant, cells)
	}
	other := -1
	if spec.Default != "" {
		other = find("default", spec.Default)
	}
	for i := range p.weights {
		p.weights[i] = 1
	}
	for name, w := range spec.Weights {
		known := false
		for k, kind := range kinds {
			if kind == name {
				known, p.weights[k+1] = true, w
			}
		}
		if !known {
			fault("kind "+name, "the platform has no such machine kind")
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	p.setFractions(other)
	for t := range p.tenants {
		if p.tenants[t] == nil {
			p.tenants[t] = cellSet{int32(p.hashedCell(t, other))}
		}
	}
	return p, nil
}

// setFractions gives each cell its share: what the file says, and the rest in the
// proportion of quotas, so that each tenant's part of the fleet stays what it was.
func (p *Plan) setFractions(other int) {
	given, quota, all := 0.0, make([]float64, len(p.cells)), 0.0
	for t, q := range p.quotas {
		cells := p.tenants[t]
		if cells == nil && other >= 0 {
			cells = cellSet{int32(other)}
		}
		for _, c := range cells {
			if p.cells[c].CapacityFraction == 0 {
				quota[c] += q / float64(len(cells))
				all += q / float64(len(cells))
			}
		}
	}
	open := 0
	for i := range p.cells {
		given += p.cells[i].CapacityFraction
		if p.cells[i].CapacityFraction == 0 {
			open++
		}
	}
	left := max(0, 1-given)
	sum := 0.0
	p.fractions = make([]float64, len(p.cells))
	for i := range p.cells {
		switch {
		case p.cells[i].CapacityFraction > 0:
			p.fractions[i] = p.cells[i].CapacityFraction
		case all > 0 && quota[i] > 0:
			p.fractions[i] = left * quota[i] / all
		default:
			p.fractions[i] = max(left, 0.01) / float64(open) / 4 // nobody asks for it yet: it still gets something
		}
		sum += p.fractions[i]
	}
	for i := range p.fractions {
		p.fractions[i] /= sum
	}
}

// homeless is the cell of a tenant that the file does not name.
func (p *Plan) hashedCell(t, other int) int {
	if other >= 0 {
		return other
	}
	name := ""
	if t < len(p.tenantNames) {
		name = p.tenantNames[t]
	}
	return p.rendezvous(xxhash.Sum64String("tenant "+name), nil)
}

// choose picks one of some cells (nil: of all) by weighted rendezvous: the chance
// of each is its share, and a cell more or less moves only what it wins or loses. The
// score of a pair is -w / ln(u) with u uniform in (0, 1) (Schindelhauer and
// Schomaker, 2005).
func (p *Plan) rendezvous(hash uint64, among cellSet) int {
	best, most := 0, 0.0
	n := len(among)
	if among == nil {
		n = len(p.cells)
	}
	for i := range n {
		c := i
		if among != nil {
			c = int(among[i])
		}
		u := uniform(hash ^ p.cellHashes[c])
		if p.fractions[c] <= most*(1-u) {
			continue // as -ln(u) >= 1-u: most need no logarithm
		}
		if s := -p.fractions[c] / math.Log(u); s > most {
			best, most = c, s
		}
	}
	return best
}

// uniform makes a hash a number over 0 and under 1.
func uniform(x uint64) float64 { return (float64(mix(x)>>11) + 0.5) / (1 << 53) }

// mix is the finalizer of MurmurHash3: every bit of x moves every bit of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// needed reports whether every cell must have a node of a kind where it can.
func (p *Plan) requiresKind(kind int) bool { return slices.Contains(p.requiredKinds, kind) }

// Cells returns how many cells there are.
func (p *Plan) CellCount() int { return len(p.cells) }

// Name returns a cell's name.
func (p *Plan) CellName(cell int) string { return p.cells[cell].Name }

// Find returns a cell's number, or -1.
func (p *Plan) CellIndex(name string) int {
	if i, ok := p.cellIndex[name]; ok {
		return i
	}
	return -1
}

// Share returns a cell's share of the fleet, 0 to 1.
func (p *Plan) CapacityFraction(cell int) float64 { return p.fractions[cell] }

// KeyJobs returns how many open jobs one key may have in a cell; 0: no limit.
func (p *Plan) KeyJobs() int { return p.keyJobs }

// Tenant returns a tenant's number, or -1.
func (p *Plan) TenantIndex(name string) int {
	if i, ok := p.tenantIndex[name]; ok {
		return i
	}
	return -1
}

// Bound returns how many of total a cell may have: what the file gives it, or its
// share, and a few at least.
func (p *Plan) CellBound(cell, given, total int) int {
	if given > 0 {
		return min(given, total)
	}
	return min(total, max(minBound, int(p.fractions[cell]*float64(total))))
}

const minBound = 4

// JobBound returns how many jobs of a cell may be open of a total.
func (p *Plan) JobBound(cell, total int) int { return p.CellBound(cell, p.cells[cell].Jobs, total) }

// ConnectionBound returns how many connections of a cell may be open of a total.
func (p *Plan) ConnectionBound(cell, total int) int {
	return p.CellBound(cell, p.cells[cell].Connections, total)
}

// TenantCount returns how many tenants there are.
func (p *Plan) TenantCount() int { return len(p.tenantNames) }

// Slots returns how many places for tenants there are: one each, and one for jobs of
// no tenant.
func (p *Plan) TenantSlots() int { return len(p.tenants) }

// TenantNames returns the tenants' names in their order.
func (p *Plan) TenantNames() []string { return p.tenantNames }
