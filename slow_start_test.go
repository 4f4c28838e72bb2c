package foxlift

import (
	"cmp"
	"slices"
	"testing"
)

// Incident if801ee: a cold worker was sent by how much others were sent, though
// most of that was refused.
func TestColdPace(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 10
	ws := fleet(2)
	ws[1].StartedAt = 5 * second
	r := newRig(t, cfg, ws[0])
	for i := range cfg.Tenants {
		r.d.tenants[i].tokens, r.d.tenants[i].rate = 1000, 100
	}
	r.d.peakWorkerRate = 0.2 // slots at work, here, of each warm worker: 2 jobs of 100 ms a second
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[1:]})
	cold := 0
	for id := uint64(1); r.now < 15*second; id++ {
		r.after(5*ms, r.request(id, 1))
		for sent := r.only(ActionSend); len(sent) > 0; sent = r.only(ActionSend) {
			var full []Event
			for _, a := range sent {
				if a.Worker == "w1" {
					cold++
				}
				full = append(full, outcome(a.ID, len(r.d.jobs[a.ID].attempts)-1, a.Worker, Saturated))
			}
			r.after(0, full...)
		}
		r.d.peakWorkerRate = 0.2
	}
	// Ten seconds at a ramp from 0.2 to 0.6 of 2 a second are 8 jobs.
	if cold < 3 || cold > 14 {
		t.Errorf("%d sends to the cold worker in 10 s, want about 8", cold)
	}
}

// Incident if1a1e4: the warm rate fell with the service, and starved the young.
func TestWarmRateHoldsItsPeak(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	r.d.servedSlots = 200
	r.d.runControlLoops()
	peak := r.d.peakWorkerRate
	for range 5 {
		r.d.runControlLoops()
	}
	if peak == 0 || r.d.peakWorkerRate < peak*0.9 {
		t.Errorf("warm rate %v five idle seconds after %v", r.d.peakWorkerRate, peak)
	}
}

// What 80 dispatchers together send to a cold worker is what it can do: it is neither
// pushed over nor left idle until it is warm.
func TestColdWorkOfManyAddsUp(t *testing.T) {
	cfg := manyConfig()
	const warm = 10 // slots of a warm worker at work for all dispatchers: 800 jobs of 100 ms a second on 8
	ws := fleet(8)
	for i := range ws {
		ws[i].Zone = 0
	}
	ws[0].StartedAt = 6 * second
	var rigs []*rig
	for i := range cfg.Dispatchers {
		cfg.Index = i
		rigs = append(rigs, newSeededRig(t, cfg, uint64(i), ws[1:]...))
	}
	var work [20]float64 // sent to the cold worker, by the second
	running := make([][]Event, len(rigs))
	id := uint64(0)
	for now := int64(0); now < 20*second; now += 20 * ms {
		for i, r := range rigs {
			r.now = 6*second + now
			if now == 0 {
				r.d.peakWorkerRate = warm / float64(cfg.Dispatchers)
				r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[:1]})
			}
			if (now/(20*ms)+int64(i))%5 != 0 {
				continue
			}
			id++
			r.step(append(running[i], r.request(id, 0))...)
			running[i] = nil
			for _, a := range r.only(ActionSend) {
				if a.Worker == "w0" {
					work[now/second] += 0.1 // it runs until this dispatcher's next turn
				}
				r.step(started(a.ID, 0, a.Worker))
				running[i] = append(running[i], outcome(a.ID, 0, a.Worker, Served))
			}
		}
	}
	for s, w := range work {
		able := warm * (cfg.SlowStartCapacity + (1-cfg.SlowStartCapacity)*(float64(s)+0.5)/20)
		if w > cfg.OverloadMultiple*able || s > 2 && w < able/2 {
			t.Errorf("second %d: %.1f slots of work sent, it can do %.1f", s, w, able)
		}
	}
}

// Dispatchers that have just started know nothing of what workers do. Whatever comes, light or
// heavy, all of them together send a cold one no more than it bears, and not nothing.
func TestColdPaceAfterARestart(t *testing.T) {
	for _, dispatchers := range []int{3, 8, 80} {
		cfg := manyConfig()
		cfg.Dispatchers = dispatchers
		ws := fleet(20)
		for i := range ws {
			ws[i].StartedAt = 5 * second
		}
		type sent struct {
			at   int64
			work float64
		}
		at := map[string][]sent{}
		for i := range dispatchers {
			cfg.Index = i
			r := newSeededRig(t, cfg, uint64(i), ws...)
			for id := uint64(1); r.now < 5*second+8*cfg.OverloadWindow; id++ {
				r.after(50*ms, r.request(id, int(id%2)))
				for _, a := range r.only(ActionSend) {
					class := &cfg.Classes[a.ID%2]
					at[a.Worker] = append(at[a.Worker], sent{r.now, float64(class.LatencyObjective)})
					r.step(started(a.ID, a.Attempt, a.Worker))
				}
			}
		}
		total := 0.0
		for worker, list := range at {
			slices.SortFunc(list, func(a, b sent) int { return cmp.Compare(a.at, b.at) })
			for i := range list {
				sum, most := 0.0, 0.0
				for _, s := range list[i:] {
					if s.at-list[i].at < cfg.OverloadWindow {
						sum, most = sum+s.work, max(most, s.work)
					}
				}
				if sum -= most; sum > cfg.OverloadMultiple*cfg.SlowStartCapacity*1.4*4*float64(cfg.OverloadWindow) {
					t.Errorf("%d dispatchers sent %s %.1f s of work in a window", dispatchers, worker, sum/1e9)
				}
				total += list[i].work
			}
		}
		if able := 20 * 8 * cfg.SlowStartCapacity * 4 * float64(cfg.OverloadWindow); total < able/10 {
			t.Errorf("%d dispatchers sent %.1f s of work, cold workers can do %.1f", dispatchers, total/1e9, able/1e9)
		}
	}
}
