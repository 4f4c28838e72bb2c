package health

const (
	rateGain      = 0.3  // weight of the newest second in the rate; half of it for many dispatchers
	peakRetention = 0.98 // of a peak, each second; less for many: their peaks add up to more than that of all
)

// A WorkerRate follows the slots that each warm worker has at work for this dispatcher. A peak is held for
// a while: what workers once served they can serve, also when traffic or a failure keeps them from it now.
type WorkerRate struct {
	gain, peakDecay float64 // weight of the newest second, and fraction of the peak that one takes
	recent, peak    float64
	servedSlots     float64 // slots that were at work in this second
}

// NewWorkerRate returns the rate in a fleet that has fleetScale times more dispatchers than learn enough
// from their own jobs.
func NewWorkerRate(fleetScale float64) WorkerRate {
	return WorkerRate{gain: rateGain / min(fleetScale, 2), peakDecay: (1 - peakRetention) * min(fleetScale, 5)}
}

// Peak returns the held peak; 0: not known.
func (r *WorkerRate) Peak() float64 { return r.peak }

// Recent returns the rate lately.
func (r *WorkerRate) Recent() float64 { return r.recent }

// Restore takes over another's rate.
func (r *WorkerRate) Restore(peak, recent float64) { r.peak, r.recent = peak, recent }

// RecordServed notes a job of so many slots that was served after a running time.
func (r *WorkerRate) RecordServed(slots float64, runtime int64) {
	r.servedSlots += slots * float64(runtime) / float64(second)
}

// Update takes the second's jobs into the rate of so many warm workers. Periods counts the calls.
func (r *WorkerRate) Update(warmWorkers int, periods int64) {
	if warmWorkers > 0 {
		gain := max(r.gain, 1/float64(periods))
		r.recent += (r.servedSlots/float64(warmWorkers) - r.recent) * gain
		r.peak = max(r.recent, r.peak*(1-r.peakDecay))
	}
	r.servedSlots = 0
}
