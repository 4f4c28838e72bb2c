package fleet

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// Load simulates clients at every process.
type Load struct {
	clients []*standin.Client
	stop    chan struct{}
	wait    sync.WaitGroup
}

// StartLoad starts sending jobs at a rate per second for the whole fleet, spread evenly over the
// processes. Each process receives jobs once it is ready, and none if it is not ready within startTimeout. The job IDs
// start with name.
func (f *Fleet) StartLoad(name string, rate float64, seed uint64) *Load {
	return f.StartLoadWith(name, rate, seed, Tolerance{})
}

// Tolerance describes which unanswered or late jobs clients do not count as lost.
type Tolerance struct {
	Grace          time.Duration                               // how long after the deadline an answer is still accepted
	WasInterrupted func(process int) func(sent time.Time) bool // see standin.Client, for each process; nil: never
}

// StartLoadWith is like StartLoad, with clients that have the given tolerance.
func (f *Fleet) StartLoadWith(name string, rate float64, seed uint64, tolerance Tolerance) *Load {
	wasInterrupted := tolerance.WasInterrupted
	if wasInterrupted == nil {
		wasInterrupted = func(int) func(time.Time) bool { return nil }
	}
	l := &Load{stop: make(chan struct{})}
	for i, p := range f.Processes {
		var clients []*standin.Client
		var rates []float64
		for _, class := range f.Classes {
			for _, tenant := range f.Tenants {
				client := newClient(p.Addr, class, tenant)
				client.Name = fmt.Sprintf("%s/%s/%s/%d", name, tenant.Name, class.Name, i)
				client.Grace = tolerance.Grace
				client.WasInterrupted = wasInterrupted(i)
				clients = append(clients, client)
				rates = append(rates, rate*class.JobFraction*tenant.QuotaFraction/float64(len(f.Processes)))
			}
		}
		l.clients = append(l.clients, clients...)
		l.wait.Go(func() {
			if p.AwaitReady(startTimeout) != nil {
				return
			}
			for k, client := range clients {
				l.wait.Go(func() {
					client.Run(func() float64 { return rates[k] }, seed+uint64(i*seedsPerProcess+k), l.stop)
				})
			}
		})
	}
	return l
}

const (
	startTimeout    = 30 * time.Second // until a process must be ready
	seedsPerProcess = 1000             // for the clients of a process
)

// newClient returns a client of a class and a tenant. Workers may be slower than a slot of speed 1, so
// two service times beyond the class's latency objective still count as within it.
func newClient(addr string, class lab.Class, tenant lab.Tenant) *standin.Client {
	return &standin.Client{
		Addr:              addr,
		Tenant:            tenant.Name,
		Class:             class.Name,
		Remaining:         class.Deadline,
		LatencyObjective:  class.LatencyObjective + 2*class.ServiceTime,
		HasIdempotencyKey: class.Effect == "deduplicated",
	}
}

// SentAt returns when each job was sent so far, by job ID.
func (l *Load) SentAt() map[string]time.Time {
	all := map[string]time.Time{}
	for _, client := range l.clients {
		maps.Copy(all, client.SentAt())
	}
	return all
}

// Stop ends the load, waits until all jobs have ended and returns the tally of the jobs since the last
// ResetTally. It may be called only once.
func (l *Load) Stop() standin.Tally {
	close(l.stop)
	l.wait.Wait()
	return l.ResetTally()
}

// ResetTally returns the tally of the jobs that ended since the last call, with or without an answer.
func (l *Load) ResetTally() standin.Tally {
	var all []standin.Tally
	for _, client := range l.clients {
		all = append(all, client.TakeTally())
	}
	return standin.Total(all...)
}
