// Package cells confines tenants to parts of the fleet. It maps each tenant (or, if the operator's file
// splits the tenant, each of its affinity keys) to a cell, and each worker to one cell.
//
// Plans, layouts and the assignment of workers use no I/O, no clock and no randomness. Two schedulers with
// the same operator's file and the same endpoint list compute the same layout without exchanging messages: a
// layout depends on the current list, never on earlier lists. The only mutable state is that of the
// Assigner, which one goroutine owns, and the counts of the Admission, which a mutex guards.
//
// Tenants are mapped by rendezvous hashing (Thaler and Ravishankar, 1998), weighted by the cells' fractions
// of capacity. Workers are mapped by slots on a hash ring that choose one after another (a serial
// dictatorship), see Assigner. docs/design/cells.md describes the alternatives.
package cells

import "slices"

// A Spec is the configuration of cells in the operator's file.
type Spec struct {
	Cells         []Cell
	Default       string             // the cell of tenants that no cell or split names; "": spread by hash
	Splits        []Split            // tenants that several cells serve, by affinity key
	WorkersPerKey int                // number of workers of a cell that may receive the jobs with one key; 0: all
	MaxJobsPerKey int                // maximum open jobs with one key in a cell; 0: no limit
	Weights       map[string]float64 // relative capacity of a worker, by kind; 1 if not named
	RequiredKinds []int              // worker kinds without which some class cannot run
}

// A Cell is one part of the fleet.
type Cell struct {
	Name             string
	CapacityFraction float64 // of the fleet's capacity; 0: in proportion to its tenants' quotas
	Tenants          []string
	MaxJobs          int     // maximum open jobs; 0: its fraction of the scheduler's limit, see CellBound
	MaxConnections   int     // maximum connections of its tenants' clients; 0: as for MaxJobs
	SpillCell        string  // the cell that receives its jobs while it has no warm worker; "": none
	SpillFraction    float64 // maximum part of that cell's job bound that spilled jobs may use, but at least 1 job
}

// A Split distributes a tenant's jobs over several cells by affinity key.
type Split struct {
	Tenant string
	Cells  []string
}

// A Tenant is one of the platform's tenants. Its index is its position in the platform's list.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all schedulers
}

// A Plan is a Spec that was validated against the platform's tenants, zones and worker kinds. It is
// immutable.
type Plan struct {
	cells         []Cell
	cellIndex     map[string]int
	fractions     []float64 // of the fleet's capacity, by cell; the sum is 1
	cellHashes    []uint64  // hashes of the cells' names
	spillCells    []int     // the cell that each cell spills into; -1: none
	tenants       []cellSet // by tenant; the last entry is for jobs without a tenant
	tenantNames   []string
	quotas        []float64 // requests per second, by tenant
	tenantIndex   map[string]int
	zones         int       // number of zones
	kindWeights   []float64 // relative capacity of a worker, by kind + 1; kind -1 is unknown
	requiredKinds []int
	workersPerKey int // 0: no limit
	maxJobsPerKey int // 0: no limit
}

// A cellSet lists the cells that serve a tenant: one cell, or several if the tenant is split by key.
type cellSet []int32

// A SpecError describes one error in a Spec. Its subject is "cells", "default", "cell NAME", "spill NAME",
// "split NAME", "kind NAME" or "tenant NAME".
type SpecError struct{ Subject, Text string }

// Error implements error.
func (e SpecError) Error() string { return e.Subject + ": " + e.Text }

// minCellBound is the smallest bound that a cell gets from its fraction of capacity, if the total is not less.
const minCellBound = 4

// requiresKind reports whether every cell should have a worker of a kind, as far as there are enough.
func (p *Plan) requiresKind(kind int) bool { return slices.Contains(p.requiredKinds, kind) }

// kindWeight returns the relative capacity of a worker of a kind, 1 for an unconfigured kind.
func (p *Plan) kindWeight(kind int) float64 {
	if kind+1 < 0 || kind+1 >= len(p.kindWeights) {
		return 1
	}
	return p.kindWeights[kind+1]
}

// CellCount returns the number of cells.
func (p *Plan) CellCount() int { return len(p.cells) }

// CellName returns the name of the cell with an index, which must be valid.
func (p *Plan) CellName(cell int) string { return p.cells[cell].Name }

// CellIndex returns the index of a cell, or -1 if there is no cell of that name.
func (p *Plan) CellIndex(name string) int {
	if i, ok := p.cellIndex[name]; ok {
		return i
	}
	return -1
}

// CapacityFraction returns a cell's fraction of the fleet's capacity, from 0 to 1.
func (p *Plan) CapacityFraction(cell int) float64 { return p.fractions[cell] }

// MaxJobsPerKey returns the maximum number of open jobs with one affinity key in a cell; 0 means no limit.
func (p *Plan) MaxJobsPerKey() int { return p.maxJobsPerKey }

// CellBound returns a cell's bound, out of a total of the whole scheduler: the configured bound if that is
// positive, otherwise its fraction of the total, but at least minCellBound. It never exceeds the total.
func (p *Plan) CellBound(cell, configured, total int) int {
	if configured > 0 {
		return min(configured, total)
	}
	return min(total, max(minCellBound, int(p.fractions[cell]*float64(total))))
}

// JobBound returns the maximum number of open jobs of a cell, out of the scheduler's total.
func (p *Plan) JobBound(cell, total int) int { return p.CellBound(cell, p.cells[cell].MaxJobs, total) }

// ConnectionBound returns the maximum number of open connections of a cell, out of the scheduler's total.
func (p *Plan) ConnectionBound(cell, total int) int {
	return p.CellBound(cell, p.cells[cell].MaxConnections, total)
}

// TenantIndex returns the index of a tenant, or -1 if there is no tenant of that name.
func (p *Plan) TenantIndex(name string) int {
	if i, ok := p.tenantIndex[name]; ok {
		return i
	}
	return -1
}

// TenantCount returns the number of tenants.
func (p *Plan) TenantCount() int { return len(p.tenantNames) }

// TenantTableSize returns the length of a table by tenant: one entry for each tenant, and one for jobs
// without a tenant.
func (p *Plan) TenantTableSize() int { return len(p.tenants) }

// TenantNames returns the tenants' names by index. The caller must not change them.
func (p *Plan) TenantNames() []string { return p.tenantNames }

// tenantName returns a tenant's name, or "" for jobs without a tenant.
func (p *Plan) tenantName(tenant int) string {
	if tenant < len(p.tenantNames) {
		return p.tenantNames[tenant]
	}
	return ""
}
