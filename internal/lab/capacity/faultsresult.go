package capacity

import (
	"fmt"
)

// A FaultsResult is what a trial saw.
type FaultsResult struct {
	Starts, WithCheckpoint                 int     // starts, and those with a list that could be used
	EndpointsBytes                         int     // bytes of the whole list at the end
	CheckpointBytes                        int64   // most that a start took with a list that could be used,
	CompleteBytes                          int64   // and that any other took
	CheckpointSeconds                      float64 // seconds until the list was in force, in the same way
	CompleteSeconds                        float64
	ExceededBound                          []string // starts that took more than their bound
	CheckpointsIgnored, CheckpointsMisused int64    // usable lists that were not used, and unusable ones that were
	withoutCheckpoint, uncleanExit         bool
}

// Line is the result in one line.
func (r *FaultsResult) Line() string {
	return fmt.Sprintf("capacity faults: starts %d, with a kept list %d, whole list %d KB, most from discovery %.1f KB with and %.1f KB without a kept list, slowest %.2f s and %.2f s, over their bound %d %v, kept lists not used %d, used wrongly %d",
		r.Starts, r.WithCheckpoint, r.EndpointsBytes/kilobyte, float64(r.CheckpointBytes)/kilobyte, float64(r.CompleteBytes)/kilobyte, r.CheckpointSeconds, r.CompleteSeconds,
		len(r.ExceededBound), r.ExceededBound, r.CheckpointsIgnored, r.CheckpointsMisused)
}

// OK reports whether each start kept its bound, and every list that could be used was.
func (r *FaultsResult) OK() bool {
	return len(r.ExceededBound) == 0 && r.CheckpointsIgnored == 0 && r.CheckpointsMisused == 0 && !r.uncleanExit && (r.withoutCheckpoint || r.WithCheckpoint > 0)
}
