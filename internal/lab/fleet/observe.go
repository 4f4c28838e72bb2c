package fleet

import (
	"github.com/vatu-meals/foxlift/internal/standin"
)

// Counter returns a counter summed over all Processes, without successors, as they have printed it so far;
// 0 if none has printed it. See Process.Counter.
func (f *Fleet) Counter(name string) (sum int64) {
	for _, p := range f.Processes {
		sum += p.Counter(name)
	}
	return sum
}

// OverloadedWorkers returns how many of all workers ever started were overloaded during slow start.
func (f *Fleet) OverloadedWorkers() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, worker := range f.workers {
		if worker.Overloaded() {
			count++
		}
	}
	return count
}

// DuplicateJobs returns the IDs of at-most-once and deduplicated jobs that were started more than once, on
// any workers, in no particular order.
func (f *Fleet) DuplicateJobs() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]int{}
	for _, worker := range f.workers {
		for id, times := range worker.Runs() {
			runs[id] += times
		}
	}
	for id, times := range runs {
		if times > 1 && f.AtMostOnce(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RequestsRead returns how many complete job requests the workers have read.
func (f *Fleet) RequestsRead() (sum int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, worker := range f.workers {
		sum += worker.Requests()
	}
	return sum
}

// Arrivals returns the job requests that any worker has read, including rejected ones, worker by worker.
func (f *Fleet) Arrivals() (all []standin.Arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, worker := range f.workers {
		all = append(all, worker.Arrivals()...)
	}
	return all
}
