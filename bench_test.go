package foxlift

import (
	"fmt"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// benchDispatcher returns one of 80 dispatchers, with workers that are not in slow start.
func benchDispatcher(b *testing.B, workers, tenants int) *Dispatcher {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Gauges, cfg.Tenants = 80, nil, nil
	for i := range tenants {
		cfg.Tenants = append(cfg.Tenants, Tenant{fmt.Sprint("t", i), 1e6})
	}
	d, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	d.Step(second, []Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: testWorkers(workers)}})
	return d
}

// BenchmarkJob measures all steps of one job: it arrives, is sent, starts and is served.
func BenchmarkJob(b *testing.B) {
	for _, size := range []struct{ workers, tenants int }{{15, 8}, {60, 8}, {600, 8}, {60, 80}} {
		b.Run(fmt.Sprintf("workers=%d/tenants=%d", size.workers, size.tenants), func(b *testing.B) {
			d := benchDispatcher(b, size.workers, size.tenants)
			now := 2 * second
			for id := uint64(1); b.Loop(); id++ {
				now += ms
				actions := d.Step(now, []Event{{Kind: EventRequest, Request: Request{
					ID: id, Tenant: int(id) % size.tenants, Deadline: now + 2*second,
				}}})
				for _, a := range actions {
					if a.Kind == ActionSend {
						worker := a.Worker
						d.Step(now, []Event{started(id, a.Attempt, worker), outcome(id, a.Attempt, worker, Served)})
						break
					}
				}
			}
		})
	}
}

// BenchmarkTick measures a tick while jobs are queued and all workers are paused.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ workers, held int }{{15, 0}, {60, 0}, {600, 0}, {60, 100}, {60, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/held=%d", size.workers, size.held), func(b *testing.B) {
			d := benchDispatcher(b, size.workers, 8)
			now := 2 * second
			for _, w := range d.workerOrder {
				w.setOutlier(func(s *health.OutlierState) { s.PausedUntil = 1 << 62 })
				d.updateLevel(w)
			}
			var news []Event
			for id := range size.held {
				news = append(news, Event{Kind: EventRequest, Request: Request{
					ID: uint64(id) + 1, Tenant: id % 8, Deadline: 1 << 62,
				}})
			}
			d.classes[0].LatencyObjective = 1 << 60 // no job becomes too old to wait
			d.Step(now, news)
			for b.Loop() {
				now += d.tickInterval
				d.Step(now, nil)
			}
			if len(d.jobs.byID) != size.held {
				b.Fatalf("%d jobs are queued at the end, want %d", len(d.jobs.byID), size.held)
			}
		})
	}
}
