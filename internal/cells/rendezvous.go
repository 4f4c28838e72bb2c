package cells

import "math"

// rendezvous returns one of a set of cells (nil: of all cells) by weighted rendezvous hashing: the
// probability of each cell is proportional to its fraction of capacity, and adding or removing a cell moves
// only the hashes that the cell gains or loses. The score of a cell is -w / ln(u), with its weight w and u
// uniform in (0, 1) (Schindelhauer and Schomaker, 2005).
func (p *Plan) rendezvous(hash uint64, candidates cellSet) int {
	best, bestScore := 0, 0.0
	n := len(candidates)
	if candidates == nil {
		n = len(p.cells)
	}
	for i := range n {
		cell := i
		if candidates != nil {
			cell = int(candidates[i])
		}
		u := uniform(hash ^ p.cellHashes[cell])
		if p.fractions[cell] <= bestScore*(1-u) {
			continue // -ln(u) >= 1-u, so that most cells need no logarithm
		}
		if score := -p.fractions[cell] / math.Log(u); score > bestScore {
			best, bestScore = cell, score
		}
	}
	return best
}

// rendezvousWeighted is rendezvous over all cells with the given weights instead of the cells' fractions. If
// all weights are 0 it uses the fractions.
func (p *Plan) rendezvousWeighted(hash uint64, weights []float64) int {
	best, bestScore := noCell, 0.0
	for cell, weight := range weights {
		u := uniform(hash ^ p.cellHashes[cell])
		if weight <= bestScore*(1-u) {
			continue
		}
		if score := -weight / math.Log(u); score > bestScore {
			best, bestScore = cell, score
		}
	}
	if best < 0 {
		return p.rendezvous(hash, nil)
	}
	return best
}

// uniform maps a hash to a number greater than 0 and less than 1.
func uniform(hash uint64) float64 { return float64((float64(mix(hash)>>11) + 0.5) / (1 << 53)) }

// mix is the 64-bit finalizer of MurmurHash3: every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// goldenRatio is 2^64 divided by the golden ratio. Its products with consecutive numbers are far apart
// (Fibonacci hashing).
const goldenRatio = 0x9e3779b97f4a7c15
