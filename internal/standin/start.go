package standin

import "time"

// A SlowStart is how a worker that has just started comes to its capacity, and what it bears until then.
type SlowStart struct {
	InitialCapacity  float64       // share of its capacity that it starts with
	Duration         time.Duration // it has all of it after this
	OverloadMultiple float64       // sent more than so many times what it can do
	OverloadWindow   time.Duration // within this, it falls over and stays down
}

// A recentWork is a job that reached a worker in slow start.
type recentJob struct {
	at          time.Time
	serviceTime time.Duration
}

// capacityFraction is the share of its capacity that a worker has.
func (w *Worker) capacityFraction(now time.Time) float64 {
	if w.SlowStart == nil || w.Started.IsZero() {
		return 1
	}
	initial := w.SlowStart.InitialCapacity
	progress := float64(now.Sub(w.Started)) / float64(w.SlowStart.Duration)
	return min(1, initial+(1-initial)*progress)
}

// withstands takes in a job that has arrived, and reports whether the worker still stands. The
// heaviest job is not counted: one alone is no overload.
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

// Fallen reports whether the worker was overloaded in slow start.
func (w *Worker) Overloaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overloaded
}
