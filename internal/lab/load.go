package lab

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// A Load is a running load on a Deployment. It has one client for each tenant, scheduler and class.
type Load struct {
	deployment *Deployment
	clients    map[string][]*standin.Client // by tenant
	rates      map[string]*atomic.Uint64    // jobs a second of each tenant, as float64 bits
	stop       chan struct{}
	running    sync.WaitGroup
	total      standin.Tally // of all tallies taken
}

// StartLoad starts a load in which each tenant sends fraction times its QuotaFraction of the fleet's capacity, spread
// evenly over the schedulers. SetRate changes the rate of a tenant later. Stop ends the load.
func (r *Deployment) StartLoad(fraction float64, seed uint64) *Load {
	l := &Load{
		deployment: r,
		clients:    map[string][]*standin.Client{},
		rates:      map[string]*atomic.Uint64{},
		stop:       make(chan struct{}),
	}
	for t, tenant := range r.Tenants {
		l.rates[tenant.Name] = &atomic.Uint64{}
		l.SetRate(tenant.Name, fraction*tenant.QuotaFraction*r.Capacity())
		for scheduler := range r.Schedulers {
			for c, class := range r.Classes {
				l.startClient(tenant.Name, scheduler, class, seed+uint64(t*100+scheduler*10+c))
			}
		}
	}
	return l
}

// startClient starts the client that sends a tenant's jobs of one class to one scheduler.
func (l *Load) startClient(tenant string, scheduler int, class Class, seed uint64) {
	client := &standin.Client{
		Addr:             l.deployment.Schedulers[scheduler].Addr().String(),
		Tenant:           tenant,
		Class:            class.Name,
		Remaining:        class.Deadline,
		LatencyObjective: class.LatencyObjective + objectiveStretch*class.ServiceTime,
		Name:             fmt.Sprintf("%s/%s/%d", tenant, class.Name, scheduler),
	}
	l.clients[tenant] = append(l.clients[tenant], client)
	rate := l.rates[tenant]
	fraction := class.JobFraction / float64(len(l.deployment.Schedulers))
	l.running.Go(func() {
		client.Run(func() float64 { return fraction * math.Float64frombits(rate.Load()) }, seed, l.stop)
	})
}

// SetRate changes the rate of a tenant, in jobs a second over all schedulers. It panics if the topology has no such
// tenant.
func (l *Load) SetRate(tenant string, rate float64) { l.rates[tenant].Store(math.Float64bits(rate)) }

// TakeTallies returns the tally of each tenant, by its name, of the jobs that ended since the last call. It must not be
// called concurrently with itself or Stop.
func (l *Load) TakeTallies() map[string]standin.Tally {
	tallies := map[string]standin.Tally{}
	for tenant, clients := range l.clients {
		var all []standin.Tally
		for _, client := range clients {
			all = append(all, client.TakeTally())
		}
		tallies[tenant] = standin.Total(all...)
		l.total = standin.Total(l.total, tallies[tenant])
	}
	return tallies
}

// A LoadResult is the result of a whole load, computed from the clients' tallies and the workers' logs.
type LoadResult struct {
	Total            standin.Tally
	RanTwice         int // at-most-once jobs that ran more than once
	ServedWithoutRun int // jobs answered with 200 that no worker ran
}

// Stop ends the load, waits until all jobs have ended and returns the result. It may be called only once.
func (l *Load) Stop() LoadResult {
	close(l.stop)
	l.running.Wait()
	l.TakeTallies()
	result := LoadResult{Total: l.total}
	runs := l.deployment.Runs()
	for id, count := range runs {
		if count > 1 && l.deployment.AtMostOnce(id) {
			result.RanTwice++
		}
	}
	for _, clients := range l.clients {
		for _, client := range clients {
			for id := range client.Served() {
				if runs[id] == 0 {
					result.ServedWithoutRun++
				}
			}
		}
	}
	return result
}
