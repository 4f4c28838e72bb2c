package lab

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// A Load is the submitters of all tenants: for each, one for each scheduler and class.
type Load struct {
	rig     *Rig
	senders map[string][]*standin.Submitter // by tenant
	rates   map[string]*atomic.Uint64       // jobs a second of each tenant, as float64 bits
	stop    chan struct{}
	wait    sync.WaitGroup
	total   standin.Tally
}

// StartLoad begins with each tenant at this part of the fleet's capacity times its
// share, spread evenly over the schedulers.
func (r *Rig) StartLoad(part float64, seed uint64) *Load {
	l := &Load{rig: r, senders: map[string][]*standin.Submitter{}, rates: map[string]*atomic.Uint64{}, stop: make(chan struct{})}
	for ti, t := range r.Tenants {
		rate := &atomic.Uint64{}
		l.rates[t.Name] = rate
		l.Set(t.Name, part*t.QuotaFraction*r.Capacity())
		for i, d := range r.Schedulers {
			for ci, c := range r.Classes {
				s := &standin.Submitter{
					Addr: d.Addr().String(), Tenant: t.Name, Class: c.Name, Remaining: c.Deadline,
					Aim:  c.LatencyObjective + 2*c.ServiceTime,
					Name: fmt.Sprintf("%s/%s/%d", t.Name, c.Name, i),
				}
				l.senders[t.Name] = append(l.senders[t.Name], s)
				share := c.JobFraction / float64(len(r.Schedulers))
				l.wait.Go(func() {
					s.Run(func() float64 { return share * math.Float64frombits(rate.Load()) }, seed+uint64(ti*100+i*10+ci), l.stop)
				})
			}
		}
	}
	return l
}

// Set changes a tenant's rate.
func (l *Load) Set(tenant string, rate float64) { l.rates[tenant].Store(math.Float64bits(rate)) }

// Take returns each tenant's tally since the last call.
func (l *Load) CollectTallies() map[string]standin.Tally {
	tallies := map[string]standin.Tally{}
	for tenant, senders := range l.senders {
		var all []standin.Tally
		for _, s := range senders {
			all = append(all, s.Take())
		}
		tallies[tenant] = standin.Total(all...)
		l.total = standin.Total(l.total, tallies[tenant])
	}
	return tallies
}

// A Verdict is what the submitters' tallies and the nodes' logs say of the promises.
type Verdict struct {
	Total            standin.Tally
	RanTwice         int // at-most-once jobs that ran more than once
	ServedWithoutRun int // jobs answered as served that no node ran
}

// Stop ends the load, waits for every answer and judges.
func (l *Load) Stop() Verdict {
	close(l.stop)
	l.wait.Wait()
	l.CollectTallies()
	v := Verdict{Total: l.total}
	runs := l.rig.Runs()
	for id, k := range runs {
		if k > 1 && l.rig.AtMostOnce(id) {
			v.RanTwice++
		}
	}
	for _, senders := range l.senders {
		for _, s := range senders {
			for id := range s.Served() {
				if runs[id] == 0 {
					v.ServedWithoutRun++
				}
			}
		}
	}
	return v
}
