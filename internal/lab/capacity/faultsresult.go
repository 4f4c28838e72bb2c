package capacity

import "fmt"

// A FaultsResult is what a trial of starts saw.
type FaultsResult struct {
	Starts         int
	WithCheckpoint int // starts with a checkpoint that could be used
	EndpointsBytes int // of the complete endpoint list at the end

	// The most bytes that a start took from discovery, and the most seconds until its list was in
	// force, by whether it had a checkpoint that could be used.
	CheckpointBytes   int64
	CompleteBytes     int64
	CheckpointSeconds float64
	CompleteSeconds   float64

	ExceededBound      []string // starts that took more than their bound
	CheckpointsIgnored int64    // that could be used and were not
	CheckpointsMisused int64    // that could not be used and were

	withoutCheckpoint bool // none is written
	uncleanExit       bool // a process did not exit with code 0
}

// Line is the result in one line.
func (r *FaultsResult) Line() string {
	return fmt.Sprintf("capacity faults: starts %d, with a kept list %d, whole list %d KB, "+
		"most from discovery %.1f KB with and %.1f KB without a kept list, slowest %.2f s and %.2f s, "+
		"over their bound %d %v, kept lists not used %d, used wrongly %d",
		r.Starts, r.WithCheckpoint, r.EndpointsBytes/kilobyte,
		float64(r.CheckpointBytes)/kilobyte, float64(r.CompleteBytes)/kilobyte,
		r.CheckpointSeconds, r.CompleteSeconds,
		len(r.ExceededBound), r.ExceededBound, r.CheckpointsIgnored, r.CheckpointsMisused)
}

// OK reports whether each start kept its bound, and every checkpoint that could be used was.
func (r *FaultsResult) OK() bool {
	if len(r.ExceededBound) > 0 || r.uncleanExit {
		return false
	}
	if r.CheckpointsIgnored != 0 || r.CheckpointsMisused != 0 {
		return false
	}
	return r.withoutCheckpoint || r.WithCheckpoint > 0
}
