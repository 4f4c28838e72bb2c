package foxlift

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// Incident if801ee: the pace of sends to a worker in slow start must not follow the number of jobs sent to other
// workers, as these may reject most of them. Here every attempt is rejected.
func TestSlowStartPace(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 10
	workers := testWorkers(2)
	workers[1].StartedAt = 5 * second
	h := newHarness(t, cfg, workers[0])
	for i := range cfg.Tenants {
		setTenant(h.d, i, func(s *admission.TenantState) { s.Tokens, s.Rate = 1000, 100 })
	}
	setPeakRate(h.d, 0.2) // slots in use per warm worker for this dispatcher: 2 jobs of 100 ms a second
	h.step(endpointsEvent(EndpointsDelta, workers[1:]...))
	sends := 0
	for id := uint64(1); h.now < 15*second; id++ {
		h.advance(5*ms, h.request(id, atMostOnce))
		for sent := h.actionsOf(ActionSend); len(sent) > 0; sent = h.actionsOf(ActionSend) {
			var full []Event
			for _, a := range sent {
				if a.Worker == "w1" {
					sends++
				}
				full = append(full, outcome(a.ID, len(h.d.jobs.byID[a.ID].attempts)-1, a.Worker, Saturated))
			}
			h.advance(0, full...)
		}
		setPeakRate(h.d, 0.2)
	}
	// Ten seconds in which the rate rises from 0.2 to 0.6 of 2 jobs a second allow 8 jobs.
	if sends < 3 || sends > 14 {
		t.Errorf("%d attempts sent to the worker in slow start in 10 s, want 3 to 14", sends)
	}
}

// Incident if1a1e4: if the peak rate fell as fast as the rate of served jobs, workers in slow start would get no
// job after some idle seconds.
func TestPeakWorkerRatePersistsWhenIdle(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	h.d.capacity.slowStart.Rate().RecordServed(200, second)
	h.d.runControlLoops()
	peak := h.d.capacity.slowStart.Rate().Peak()
	for range 5 {
		h.d.runControlLoops()
	}
	if peak == 0 || h.d.capacity.slowStart.Rate().Peak() < peak*0.9 {
		t.Errorf("peak rate %v after five idle seconds, want at least 0.9 times %v",
			h.d.capacity.slowStart.Rate().Peak(), peak)
	}
}

// Each dispatcher paces its own sends to a worker in slow start. The work that 80 dispatchers send together must
// match what the worker can do: it must be neither overloaded nor idle.
func TestSlowStartTotalWorkOfManyDispatchers(t *testing.T) {
	cfg := manyConfig()
	const warmSlots = 10 // slots in use at a warm worker over all dispatchers: 800 jobs of 100 ms a second on 8
	workers := testWorkers(8)
	for i := range workers {
		workers[i].Zone = 0
	}
	workers[0].StartedAt = 6 * second
	var harnesses []*harness
	for i := range cfg.Dispatchers {
		cfg.Index = i
		harnesses = append(harnesses, newSeededHarness(t, cfg, uint64(i), workers[1:]...))
	}
	var work [20]float64 // slot-seconds of work sent to the worker in slow start, by second
	running := make([][]Event, len(harnesses))
	id := uint64(0)
	for now := int64(0); now < 20*second; now += 20 * ms {
		for i, h := range harnesses {
			h.now = 6*second + now
			if now == 0 {
				setPeakRate(h.d, warmSlots/float64(cfg.Dispatchers))
				h.step(endpointsEvent(EndpointsDelta, workers[:1]...))
			}
			if (now/(20*ms)+int64(i))%5 != 0 {
				continue
			}
			id++
			h.step(append(running[i], h.request(id, idempotent))...)
			running[i] = nil
			for _, a := range h.actionsOf(ActionSend) {
				if a.Worker == "w0" {
					work[now/second] += 0.1 // it runs until this dispatcher's next turn
				}
				h.step(started(a.ID, 0, a.Worker))
				running[i] = append(running[i], outcome(a.ID, 0, a.Worker, Served))
			}
		}
	}
	for s, w := range work {
		possibleWork := warmSlots * (cfg.SlowStartCapacity + (1-cfg.SlowStartCapacity)*(float64(s)+0.5)/20)
		if w > cfg.OverloadMultiple*possibleWork || s > 2 && w < possibleWork/2 {
			t.Errorf("second %d: %.1f slot-seconds of work sent, the worker can do %.1f", s, w, possibleWork)
		}
	}
}

// Dispatchers that have just started know no rate of warm workers. With light and heavy jobs, all of them
// together must not overload a worker in slow start, and must still use some of its capacity.
func TestSlowStartPaceAfterARestart(t *testing.T) {
	for _, dispatchers := range []int{3, 8, 80} {
		t.Run(fmt.Sprintf("dispatchers=%d", dispatchers), func(t *testing.T) {
			cfg := manyConfig()
			cfg.Dispatchers = dispatchers
			total := 0.0
			budget := cfg.OverloadMultiple * cfg.SlowStartCapacity * 1.4 * 4 * float64(cfg.OverloadWindow)
			for worker, list := range simulateRestart(t, cfg) {
				slices.SortFunc(list, func(a, b sentWork) int { return cmp.Compare(a.at, b.at) })
				for i := range list {
					if work := workInWindow(list[i:], cfg.OverloadWindow); work > budget {
						t.Errorf("worker %s was sent %.1f s of work in a window, want %.1f at most", worker, work/1e9, budget/1e9)
					}
					total += float64(list[i].work)
				}
			}
			if possibleWork := 20 * 8 * cfg.SlowStartCapacity * 4 * float64(cfg.OverloadWindow); total < possibleWork/10 {
				t.Errorf("%.1f s of work sent, want at least a tenth of the possible %.1f", total/1e9, possibleWork/1e9)
			}
		})
	}
}

// simulateRestart starts all dispatchers and 20 workers together, and returns the work sent to each worker within
// eight overload windows.
func simulateRestart(t *testing.T, cfg Config) map[string][]sentWork {
	workers := testWorkers(20)
	for i := range workers {
		workers[i].StartedAt = 5 * second
	}
	sent := map[string][]sentWork{}
	for i := range cfg.Dispatchers {
		cfg.Index = i
		h := newSeededHarness(t, cfg, uint64(i), workers...)
		for id := uint64(1); h.now < 5*second+8*cfg.OverloadWindow; id++ {
			h.advance(50*ms, h.request(id, int(id%2)))
			for _, a := range h.actionsOf(ActionSend) {
				work := cfg.Classes[a.ID%2].LatencyObjective
				sent[a.Worker] = append(sent[a.Worker], sentWork{h.now, work})
				h.step(started(a.ID, a.Attempt, a.Worker))
			}
		}
	}
	return sent
}

// workInWindow returns the work sent within a window that begins at the first entry, without the heaviest job.
func workInWindow(sent []sentWork, window int64) float64 {
	var sum, heaviest int64
	for _, s := range sent {
		if s.at-sent[0].at < window {
			sum += s.work
			heaviest = max(heaviest, s.work)
		}
	}
	return float64(sum - heaviest)
}
