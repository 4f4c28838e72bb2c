package standin

import "time"

// A SlowStart describes how the capacity of a worker grows after its start and which load overloads it until then.
// Capacity grows linearly from InitialCapacity to 1 over Duration.
type SlowStart struct {
	InitialCapacity  float64       // fraction of its full capacity that the worker has at its start
	Duration         time.Duration // from the start of the worker until it has its full capacity
	OverloadMultiple float64       // load, as a multiple of its current capacity, above which it fails
	OverloadWindow   time.Duration // time over which that load is measured
}

// A recentJob is a job that reached a worker in slow start.
type recentJob struct {
	at          time.Time
	serviceTime time.Duration
}

// capacityFraction returns the fraction of its full capacity that the worker has at a time: 1 after or without slow
// start.
func (w *Worker) capacityFraction(now time.Time) float64 {
	if w.SlowStart == nil || w.Started.IsZero() {
		return 1
	}
	initial := w.SlowStart.InitialCapacity
	progress := float64(now.Sub(w.Started)) / float64(w.SlowStart.Duration)
	return min(1, initial+(1-initial)*progress)
}

// acceptsDuringSlowStart records a job that has arrived and reports whether the worker still works. During slow start
// the worker fails for good once the service times of the jobs of the last OverloadWindow sum up to more than
// OverloadMultiple times its current capacity. The longest of these jobs does not count, because a single job is no
// overload.
func (w *Worker) acceptsDuringSlowStart(serviceTime time.Duration) bool {
	now := time.Now()
	capacity := w.capacityFraction(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if capacity >= 1 || w.overloaded {
		return !w.overloaded
	}
	window := w.SlowStart.OverloadWindow
	w.recent = append(w.recent, recentJob{now, serviceTime})
	for now.Sub(w.recent[0].at) > window {
		w.recent = w.recent[1:]
	}
	var sum, longest time.Duration
	for _, job := range w.recent {
		sum += job.serviceTime
		longest = max(longest, job.serviceTime)
	}
	maxServiceTime := w.SlowStart.OverloadMultiple * float64(cap(w.slots)) * capacity * float64(window)
	w.overloaded = float64(sum-longest) > maxServiceTime
	return !w.overloaded
}

// Overloaded reports whether the worker has failed because of overload in slow start.
func (w *Worker) Overloaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overloaded
}
