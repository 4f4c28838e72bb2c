package admission

import "slices"

const maxRuntimes = 64 // recent running times of which the quantiles are computed

// Runtimes are the recent running times of a class's jobs, in nanoseconds, with their quantiles as of the
// last Update.
type Runtimes struct {
	recent                []int64 // oldest first
	median, lowerQuartile int64
}

// NewRuntimes returns the running times of a class without jobs yet. Its quantiles are the expected time.
func NewRuntimes(expected int64) Runtimes { return Runtimes{median: expected, lowerQuartile: expected} }

// Median returns the median of the recent running times.
func (r *Runtimes) Median() int64 { return r.median }

// Measured reports whether there are enough running times for the quantiles.
func (r *Runtimes) Measured() bool { return len(r.recent) >= minSamples }

// LowerQuartile returns the lower quartile of the recent running times.
func (r *Runtimes) LowerQuartile() int64 { return r.lowerQuartile }

// Recent returns the recent running times, oldest first. They are valid until the next Record.
func (r *Runtimes) Recent() []int64 { return r.recent }

// Record adds the running time of a job, and drops the oldest one if there are maxRuntimes.
func (r *Runtimes) Record(took int64) {
	if len(r.recent) < maxRuntimes {
		r.recent = append(r.recent, took)
		return
	}
	copy(r.recent, r.recent[1:])
	r.recent[maxRuntimes-1] = took
}

// Update recomputes the quantiles if there are at least minSamples running times.
func (r *Runtimes) Update() {
	if !r.Measured() {
		return
	}
	var buffer [maxRuntimes]int64
	sorted := buffer[:copy(buffer[:], r.recent)]
	slices.Sort(sorted)
	r.median = sorted[int(0.5*float64(len(sorted)))]
	r.lowerQuartile = sorted[int(0.25*float64(len(sorted)))]
}

// Restore sets the quantiles, each to at least 1 ns, and the recent running times, of which it keeps the
// slice.
func (r *Runtimes) Restore(median, lowerQuartile int64, recent []int64) {
	r.median, r.lowerQuartile, r.recent = max(median, 1), max(lowerQuartile, 1), recent
}
