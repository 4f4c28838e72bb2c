package fleet

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// A Load is submitters at every process.
type Load struct {
	clients []*standin.Client
	stop    chan struct{}
	wait    sync.WaitGroup
}

// StartLoad begins jobs at a rate a second over the whole fleet, spread evenly, at each
// process once it takes connections. Its ids begin with name.
func (f *Fleet) StartLoad(name string, rate float64, seed uint64) *Load {
	return f.StartLoadWith(name, rate, seed, Leniency{})
}

// A Leniency is what submitters allow for.
type Leniency struct {
	Grace  time.Duration                               // how late an answer may come
	Excuse func(process int) func(sent time.Time) bool // see standin.Client; nil: nothing is excused
}

// StartLoadWith does so with submitters that allow for some things.
func (f *Fleet) StartLoadWith(name string, rate float64, seed uint64, allow Leniency) *Load {
	excuse := allow.Excuse
	if excuse == nil {
		excuse = func(int) func(time.Time) bool { return nil }
	}
	l := &Load{stop: make(chan struct{})}
	for i, p := range f.Processes {
		var senders []*standin.Client
		var rates []float64
		for _, c := range f.Classes {
			for _, t := range f.Tenants {
				senders = append(senders, &standin.Client{
					Addr: p.Addr, Tenant: t.Name, Class: c.Name, Remaining: c.Deadline, LatencyObjective: c.LatencyObjective + 2*c.ServiceTime, HasIdempotencyKey: c.Effect == "deduplicated",
					Name: fmt.Sprintf("%s/%s/%s/%d", name, t.Name, c.Name, i), Grace: allow.Grace, Excuse: excuse(i),
				})
				rates = append(rates, rate*c.JobFraction*t.QuotaFraction/float64(len(f.Processes)))
			}
		}
		l.clients = append(l.clients, senders...)
		l.wait.Go(func() {
			if p.AwaitReady(30*time.Second) != nil {
				return
			}
			for k, s := range senders {
				l.wait.Go(func() { s.Run(func() float64 { return rates[k] }, seed+uint64(i*1000+k), l.stop) })
			}
		})
	}
	return l
}

// SentAt returns when each job was sent.
func (l *Load) SentAt() map[string]time.Time {
	all := map[string]time.Time{}
	for _, s := range l.clients {
		maps.Copy(all, s.SentAt())
	}
	return all
}

// Stop ends the load, waits for every answer and returns what became of the jobs.
func (l *Load) Stop() standin.Tally {
	close(l.stop)
	l.wait.Wait()
	return l.ResetTally()
}

// Take returns what became of the jobs that were answered since the last call.
func (l *Load) ResetTally() standin.Tally {
	var all []standin.Tally
	for _, s := range l.clients {
		all = append(all, s.ResetTally())
	}
	return standin.Total(all...)
}
