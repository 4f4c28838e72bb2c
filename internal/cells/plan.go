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
	Cells    []Cell
	Default  string             // the cell of tenants that are not named; "": spread by hash
	Splits   []Split            // tenants that live in several cells, by key
	KeyNodes int                // nodes of its cell that a key's jobs may go to; 0: all
	KeyJobs  int                // open jobs that one key may have in a cell; 0: no limit
	Weights  map[string]float64 // capacity of a machine kind against others; 1 if not named
	Needs    []int              // machine kinds without which some class cannot run
}

// A Cell is one part of the fleet.
type Cell struct {
	Name        string
	Share       float64 // of the fleet's capacity; 0: as its tenants' quotas are to all
	Tenants     []string
	Jobs        int     // jobs open at once; 0: its share of what the scheduler holds
	Connections int     // of its tenants' submitters; 0: its share likewise
	Spill       string  // where jobs go while it has no warm node; "": nowhere
	SpillPart   float64 // of that cell's Jobs, the most that spilled jobs may take
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
	cells    []Cell
	index    map[string]int
	shares   []float64 // of each cell; they sum to 1
	salts    []uint64  // hashes of the cells' names
	spill    []int     // -1: nowhere
	tenants  []place   // by tenant; the last is for jobs of no tenant
	names    []string  // of the tenants
	quotas   []float64
	byName   map[string]int
	zones    int
	weights  []float64 // by kind + 1; kind -1 is unknown
	needs    []int
	keyNodes int
	keyJobs  int
}

// A place is where a tenant lives: one cell, or several by key.
type place []int32

// A Fault is one thing wrong with a Spec, and what of it is at fault: "cells",
// "default", "cell NAME", "spill NAME", "split NAME", "kind NAME" or "tenant NAME".
type Fault struct{ Subject, Text string }

func (f Fault) Error() string { return f.Subject + ": " + f.Text }

// NewPlan checks a spec. zones is how many zones there are, kinds are the names of
// the machine kinds in their order. It returns all faults.
func NewPlan(spec *Spec, tenants []Tenant, zones int, kinds []string) (*Plan, []Fault) {
	p := &Plan{
		cells: spec.Cells, index: map[string]int{}, byName: map[string]int{}, zones: zones,
		keyNodes: spec.KeyNodes, keyJobs: spec.KeyJobs, weights: make([]float64, len(kinds)+1),
		needs: spec.Needs,
	}
	var faults []Fault
	fault := func(subject, format string, args ...any) {
		faults = append(faults, Fault{subject, fmt.Sprintf(format, args...)})
	}
	if len(spec.Cells) == 0 {
		fault("cells", "no cell is given")
	}
	for i, c := range spec.Cells {
		if _, twice := p.index[c.Name]; twice {
			fault("cell "+c.Name, "it is there twice")
		}
		p.index[c.Name] = i
		p.salts = append(p.salts, xxhash.Sum64String("cell "+c.Name))
	}
	find := func(who, name string) int {
		i, ok := p.index[name]
		if !ok {
			fault(who, "there is no cell %q", name)
		}
		return i
	}
	for i, t := range tenants {
		p.byName[t.Name] = i
		p.names, p.quotas = append(p.names, t.Name), append(p.quotas, t.Quota)
	}
	p.tenants = make([]place, len(tenants)+1)
	put := func(tenant string, cells place) {
		t, ok := p.byName[tenant]
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
			put(t, place{int32(i)})
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
		var cells place
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
	p.setShares(other)
	for t := range p.tenants {
		if p.tenants[t] == nil {
			p.tenants[t] = place{int32(p.homeless(t, other))}
		}
	}
	return p, nil
}

// setShares gives each cell its share: what the file says, and the rest in the
// proportion of quotas, so that each tenant's part of the fleet stays what it was.
func (p *Plan) setShares(other int) {
	given, quota, all := 0.0, make([]float64, len(p.cells)), 0.0
	for t, q := range p.quotas {
		cells := p.tenants[t]
		if cells == nil && other >= 0 {
			cells = place{int32(other)}
		}
		for _, c := range cells {
			if p.cells[c].Share == 0 {
				quota[c] += q / float64(len(cells))
				all += q / float64(len(cells))
			}
		}
	}
	open := 0
	for i := range p.cells {
		given += p.cells[i].Share
		if p.cells[i].Share == 0 {
			open++
		}
	}
	left := max(0, 1-given)
	sum := 0.0
	p.shares = make([]float64, len(p.cells))
	for i := range p.cells {
		switch {
		case p.cells[i].Share > 0:
			p.shares[i] = p.cells[i].Share
		case all > 0 && quota[i] > 0:
			p.shares[i] = left * quota[i] / all
		default:
			p.shares[i] = max(left, 0.01) / float64(open) / 4 // nobody asks for it yet: it still gets something
		}
		sum += p.shares[i]
	}
	for i := range p.shares {
		p.shares[i] /= sum
	}
}

// homeless is the cell of a tenant that the file does not name.
func (p *Plan) homeless(t, other int) int {
	if other >= 0 {
		return other
	}
	name := ""
	if t < len(p.names) {
		name = p.names[t]
	}
	return p.choose(xxhash.Sum64String("tenant "+name), nil)
}

// choose picks one of some cells (nil: of all) by weighted rendezvous: the chance
// of each is its share, and a cell more or less moves only what it wins or loses. The
// score of a pair is -w / ln(u) with u uniform in (0, 1) (Schindelhauer and
// Schomaker, 2005).
func (p *Plan) choose(hash uint64, among place) int {
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
		u := uniform(hash ^ p.salts[c])
		if p.shares[c] <= most*(1-u) {
			continue // as -ln(u) >= 1-u: most need no logarithm
		}
		if s := -p.shares[c] / math.Log(u); s > most {
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
func (p *Plan) needed(kind int) bool { return slices.Contains(p.needs, kind) }

// Cells returns how many cells there are.
func (p *Plan) Cells() int { return len(p.cells) }

// Name returns a cell's name.
func (p *Plan) Name(cell int) string { return p.cells[cell].Name }

// Find returns a cell's number, or -1.
func (p *Plan) Find(name string) int {
	if i, ok := p.index[name]; ok {
		return i
	}
	return -1
}

// Share returns a cell's share of the fleet, 0 to 1.
func (p *Plan) Share(cell int) float64 { return p.shares[cell] }

// KeyJobs returns how many open jobs one key may have in a cell; 0: no limit.
func (p *Plan) KeyJobs() int { return p.keyJobs }

// Tenant returns a tenant's number, or -1.
func (p *Plan) Tenant(name string) int {
	if i, ok := p.byName[name]; ok {
		return i
	}
	return -1
}

// Bound returns how many of total a cell may have: what the file gives it, or its
// share, and a few at least.
func (p *Plan) Bound(cell, given, total int) int {
	if given > 0 {
		return min(given, total)
	}
	return min(total, max(leastBound, int(p.shares[cell]*float64(total))))
}

const leastBound = 4

// JobBound returns how many jobs of a cell may be open of a total.
func (p *Plan) JobBound(cell, total int) int { return p.Bound(cell, p.cells[cell].Jobs, total) }

// ConnectionBound returns how many connections of a cell may be open of a total.
func (p *Plan) ConnectionBound(cell, total int) int {
	return p.Bound(cell, p.cells[cell].Connections, total)
}

// Tenants returns how many tenants there are.
func (p *Plan) Tenants() int { return len(p.names) }

// Slots returns how many places for tenants there are: one each, and one for jobs of
// no tenant.
func (p *Plan) Slots() int { return len(p.tenants) }

// TenantNames returns the tenants' names in their order.
func (p *Plan) TenantNames() []string { return p.names }
