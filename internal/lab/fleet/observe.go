package fleet

import (
	"github.com/vatu-meals/foxlift/internal/standin"
)

// Counter sums a counter over all processes, of all that they have printed.
func (f *Fleet) Counter(name string) (sum int64) {
	for _, p := range f.Processes {
		sum += p.Counter(name)
	}
	return sum
}

// Fallen returns how many nodes were pushed over.
func (f *Fleet) Fallen() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, node := range f.workers {
		if node.Fallen() {
			n++
		}
	}
	return n
}

// Twice returns the at-most-once jobs that were begun more than once on any nodes.
func (f *Fleet) Twice() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]int{}
	for _, n := range f.workers {
		for id, k := range n.Runs() {
			runs[id] += k
		}
	}
	for id, k := range runs {
		if k > 1 && f.AtMostOnce(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Requests returns how many whole requests with a job the nodes have read.
func (f *Fleet) Requests() (sum int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.workers {
		sum += n.Requests()
	}
	return sum
}

// Arrivals returns the requests with a job that have reached any node.
func (f *Fleet) Arrivals() (all []standin.Arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.workers {
		all = append(all, n.Arrivals()...)
	}
	return all
}
