package cells

// The hash ring on which seats look for a free node.

import (
	"cmp"
	"slices"
)

// A ring is nodes by place, of which some are taken. next[i] leads to the first free
// one from i on, by union and find with path halving.
type ring struct {
	nodes []*node
	next  []int
}

func (r *ring) add(x *node) {
	r.nodes = append(r.nodes, x)
	r.next = append(r.next, len(r.next))
}

func (r *ring) find(i int) int {
	for i < len(r.next) && r.next[i] != i {
		if j := r.next[i]; j < len(r.next) {
			r.next[i] = r.next[j]
		}
		i = r.next[i]
	}
	return i
}

// after returns the first free node clockwise of a place, or nil.
func (r *ring) after(pos uint64) *node {
	if r == nil {
		return nil
	}
	at, _ := slices.BinarySearchFunc(r.nodes, pos, func(x *node, p uint64) int { return cmp.Compare(x.pos, p) })
	if i := r.find(at); i < len(r.nodes) {
		return r.nodes[i]
	}
	if i := r.find(0); i < len(r.nodes) {
		return r.nodes[i]
	}
	return nil
}

func (r *ring) drop(x *node) {
	i, _ := slices.BinarySearchFunc(r.nodes, x, byPlace)
	r.next[i] = i + 1
}
