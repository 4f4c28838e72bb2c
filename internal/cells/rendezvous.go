package cells

import "math"

// rendezvous picks one of a set of cells (nil: of all) by weighted rendezvous hashing: the probability
// of each is its fraction of capacity, and a cell more or less moves only the hashes that it wins or
// loses. The score of a pair is -w / ln(u) with u uniform in (0, 1) (Schindelhauer and Schomaker,
// 2005).
func (p *Plan) rendezvous(hash uint64, among cellSet) int {
	best, bestScore := 0, 0.0
	n := len(among)
	if among == nil {
		n = len(p.cells)
	}
	for i := range n {
		cell := i
		if among != nil {
			cell = int(among[i])
		}
		u := uniform(hash ^ p.cellHashes[cell])
		if p.fractions[cell] <= bestScore*(1-u) {
			continue // as -ln(u) >= 1-u: most need no logarithm
		}
		if score := -p.fractions[cell] / math.Log(u); score > bestScore {
			best, bestScore = cell, score
		}
	}
	return best
}

// rendezvousWeighted is rendezvous among all cells with other weights than their fractions; where all
// weights are 0 the fractions count.
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

// uniform maps a hash to a number over 0 and under 1.
func uniform(hash uint64) float64 { return (float64(mix(hash)>>11) + 0.5) / (1 << 53) }

// mix is the finalizer of MurmurHash3: every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// goldenRatio is 2^64 divided by the golden ratio: multiples of it hash numbers that follow each other
// to values far apart.
const goldenRatio = 0x9e3779b97f4a7c15
