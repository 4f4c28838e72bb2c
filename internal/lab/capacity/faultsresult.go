package capacity

import "fmt"

// A FaultsResult is the result of a trial of starts.
type FaultsResult struct {
	Starts         int // starts of the process
	WithCheckpoint int // starts with a usable checkpoint
	EndpointsBytes int // size of the complete endpoint list at the end

	// The most bytes that a start received from discovery, and the most seconds until its endpoint list was in force,
	// with a usable checkpoint (Checkpoint) and without one (Complete).
	CheckpointBytes   int64
	CompleteBytes     int64
	CheckpointSeconds float64
	CompleteSeconds   float64

	ExceededBound      []string // descriptions of the starts that received more bytes than their bound
	CheckpointsIgnored int64    // starts that received the complete list despite a usable checkpoint
	CheckpointsMisused int64    // starts that received too little for a start without a usable checkpoint

	withoutCheckpoint bool // the process writes no checkpoint
	uncleanExit       bool // a process did not exit with code 0 after SIGTERM
}

// Line returns the result as one line of text.
func (r *FaultsResult) Line() string {
	return fmt.Sprintf("capacity faults: starts %d, with a usable checkpoint %d, complete endpoint list %d KB, "+
		"most from discovery %.1f KB with and %.1f KB without a usable checkpoint, slowest %.2f s and %.2f s, "+
		"over their bound %d %v, usable checkpoints ignored %d, unusable checkpoints used %d",
		r.Starts, r.WithCheckpoint, r.EndpointsBytes/kilobyte,
		float64(r.CheckpointBytes)/kilobyte, float64(r.CompleteBytes)/kilobyte,
		r.CheckpointSeconds, r.CompleteSeconds,
		len(r.ExceededBound), r.ExceededBound, r.CheckpointsIgnored, r.CheckpointsMisused)
}

// OK reports whether no start exceeded its bound, each usable checkpoint was used and no other one, and no terminated
// process failed. Unless the trial runs without checkpoints, at least one start must have had a usable one.
func (r *FaultsResult) OK() bool {
	if len(r.ExceededBound) > 0 || r.uncleanExit {
		return false
	}
	if r.CheckpointsIgnored != 0 || r.CheckpointsMisused != 0 {
		return false
	}
	return r.withoutCheckpoint || r.WithCheckpoint > 0
}
