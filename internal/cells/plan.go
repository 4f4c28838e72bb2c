// Package cells confines tenants to parts of the fleet. It maps each tenant (and, where the operator's
// file says so, each affinity key of a tenant) to a cell, and each worker to one cell.
//
// Plans, layouts and the assignment of workers have no I/O, no clock and no randomness. Two schedulers
// that read the same file and hear the same endpoint list reach the same layout without exchanging a
// message; a layout depends on what the list is now, never on how it came to be so. The only state
// that changes in place is the Assigner's, which one goroutine owns, and the Admission's counts, which
// a lock guards.
//
// Tenants are mapped by rendezvous hashing (Thaler and Ravishankar, 1998), weighted by the cells'
// fractions of capacity. Workers are mapped by a serial dictatorship of slots on a hash ring, see
// Assigner. docs/design/cells.md has the alternatives.
package cells

import "slices"

// A Spec is what the operator's file says of cells.
type Spec struct {
	Cells         []Cell
	Default       string             // the cell of tenants that are not named; "": spread by hash
	Splits        []Split            // tenants that are served by several cells, by key
	WorkersPerKey int                // workers of its cell that a key's jobs may go to; 0: all
	MaxJobsPerKey int                // open jobs that one key may have in a cell; 0: no limit
	Weights       map[string]float64 // capacity of a worker kind against others; 1 if not named
	RequiredKinds []int              // worker kinds without which some class cannot run
}

// A Cell is one part of the fleet.
type Cell struct {
	Name             string
	CapacityFraction float64 // of the fleet's capacity; 0: as its tenants' quotas are to all
	Tenants          []string
	MaxJobs          int     // open jobs; 0: its fraction of what the scheduler admits
	MaxConnections   int     // of its tenants' clients; 0: its fraction likewise
	SpillCell        string  // the cell of its jobs while it has no warm worker; "": none
	SpillFraction    float64 // of that cell's Jobs, the most that spilled jobs may take
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

// A Plan is a Spec that was checked against the platform's tenants and kinds. It is immutable.
type Plan struct {
	cells         []Cell
	cellIndex     map[string]int
	fractions     []float64 // of capacity, by cell; they sum to 1
	cellHashes    []uint64  // of the cells' names
	spillCells    []int     // -1: none
	tenants       []cellSet // by tenant; the last is for jobs of no tenant
	tenantNames   []string
	quotas        []float64
	tenantIndex   map[string]int
	zones         int
	kindWeights   []float64 // by kind + 1; kind -1 is unknown
	requiredKinds []int
	workersPerKey int
	maxJobsPerKey int
}

// A cellSet is the cells that serve a tenant: one, or several by key.
type cellSet []int32

// A SpecError is one thing wrong with a Spec, and its subject: "cells", "default", "cell NAME",
// "spill NAME", "split NAME", "kind NAME" or "tenant NAME".
type SpecError struct{ Subject, Text string }

// Error implements error.
func (e SpecError) Error() string { return e.Subject + ": " + e.Text }

// minBound is the least that a cell's bound is by its fraction.
const minCellBound = 4

// requiresKind reports whether every cell must have a worker of a kind where it can.
func (p *Plan) requiresKind(kind int) bool { return slices.Contains(p.requiredKinds, kind) }

// kindWeight is the capacity of a worker of a kind.
func (p *Plan) kindWeight(kind int) float64 {
	if kind+1 < 0 || kind+1 >= len(p.kindWeights) {
		return 1
	}
	return p.kindWeights[kind+1]
}

// CellCount returns how many cells there are.
func (p *Plan) CellCount() int { return len(p.cells) }

// CellName returns a cell's name.
func (p *Plan) CellName(cell int) string { return p.cells[cell].Name }

// CellIndex returns a cell's index, or -1.
func (p *Plan) CellIndex(name string) int {
	if i, ok := p.cellIndex[name]; ok {
		return i
	}
	return -1
}

// CapacityFraction returns a cell's fraction of the fleet's capacity, 0 to 1.
func (p *Plan) CapacityFraction(cell int) float64 { return p.fractions[cell] }

// KeyJobs returns how many open jobs one key may have in a cell; 0: no limit.
func (p *Plan) MaxJobsPerKey() int { return p.maxJobsPerKey }

// CellBound returns how many of total a cell may have: what the file says, given, or its fraction,
// and a few at least.
func (p *Plan) CellBound(cell, configured, total int) int {
	if configured > 0 {
		return min(configured, total)
	}
	return min(total, max(minCellBound, int(p.fractions[cell]*float64(total))))
}

// JobBound returns how many jobs of a cell may be open of a total.
func (p *Plan) JobBound(cell, total int) int { return p.CellBound(cell, p.cells[cell].MaxJobs, total) }

// ConnectionBound returns how many connections of a cell may be open of a total.
func (p *Plan) ConnectionBound(cell, total int) int {
	return p.CellBound(cell, p.cells[cell].MaxConnections, total)
}

// TenantIndex returns a tenant's index, or -1.
func (p *Plan) TenantIndex(name string) int {
	if i, ok := p.tenantIndex[name]; ok {
		return i
	}
	return -1
}

// TenantCount returns how many tenants there are.
func (p *Plan) TenantCount() int { return len(p.tenantNames) }

// TenantSlots returns the length of a table by tenant: one entry each, and one for jobs of no tenant.
func (p *Plan) TenantTableSize() int { return len(p.tenants) }

// TenantNames returns the tenants' names in their order.
func (p *Plan) TenantNames() []string { return p.tenantNames }

// tenantName returns a tenant's name, "" for jobs of no tenant.
func (p *Plan) tenantName(tenant int) string {
	if tenant < len(p.tenantNames) {
		return p.tenantNames[tenant]
	}
	return ""
}
