package health

// With many dispatchers the peak decays faster: the sum of their peaks exceeds the peak of their sum.
const (
	rateGain      = 0.3  // weight of the newest second in the rate, down to half of it for many dispatchers
	peakRetention = 0.98 // fraction of a peak kept each second; less for many dispatchers
)

// A WorkerRate estimates how many slots a warm worker has in use for this dispatcher, as a mean over the warm
// workers. The peak decays slowly: workers can still serve what they served before, even if low traffic or a
// failure prevents it now.
type WorkerRate struct {
	gain, peakDecay float64 // weight of the newest second; fraction that the peak loses in one
	recent, peak    float64
	servedSlots     float64 // slot-seconds of the jobs served in the current second
}

// NewWorkerRate returns an unknown rate, which is 0. fleetScale is how many times more dispatchers the fleet
// has than can each learn enough from their own jobs.
func NewWorkerRate(fleetScale float64) WorkerRate {
	return WorkerRate{gain: rateGain / min(fleetScale, 2), peakDecay: (1 - peakRetention) * min(fleetScale, 5)}
}

// Peak returns the decaying peak of the rate, in slots per worker; 0: not known.
func (r *WorkerRate) Peak() float64 { return r.peak }

// Recent returns the recent rate, in slots per worker.
func (r *WorkerRate) Recent() float64 { return r.recent }

// Restore sets the peak and the recent rate.
func (r *WorkerRate) Restore(peak, recent float64) { r.peak, r.recent = peak, recent }

// RecordServed adds a job of so many slots that was served after a running time in nanoseconds.
func (r *WorkerRate) RecordServed(slots float64, runtime int64) {
	r.servedSlots += slots * float64(runtime) / float64(second)
}

// Update adds the jobs of the last second to the rate, as served by so many warm workers. Without a warm
// worker they are discarded and the rate stays as it is. periods is the number of calls so far, from 1: the
// first calls weigh more.
func (r *WorkerRate) Update(warmWorkers int, periods int64) {
	if warmWorkers > 0 {
		gain := max(r.gain, 1/float64(periods))
		r.recent += float64((r.servedSlots/float64(warmWorkers) - r.recent) * gain)
		r.peak = max(r.recent, r.peak*(1-r.peakDecay))
	}
	r.servedSlots = 0
}
