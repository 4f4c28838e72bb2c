package foxlift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestConfigErrorsNameTheField(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"Classes is empty":      func(c *Config) { c.Classes = nil },
		"negative time":         func(c *Config) { c.Classes[1].LatencyObjective = -1 },
		"Effect is unknown":     func(c *Config) { c.Classes[0].Effect = 9 },
		"Scope is unknown":      func(c *Config) { c.Classes[2].Scope = 9 },
		"Kind is under -1":      func(c *Config) { c.Classes[0].Kind = -2 },
		"Dispatchers":           func(c *Config) { c.Dispatchers = 0 },
		"Index":                 func(c *Config) { c.Index = 7 },
		"Quota is negative":     func(c *Config) { c.Tenants[0].Quota = -1 },
		"Bands[0]":              func(c *Config) { c.Bands = []Band{{Width: 1, Ratio: []float64{1}}} },
		"Gauges":                func(c *Config) { c.Gauges = make([]Gauge, MaxGauges+1) },
		"WarmAfter is negative": func(c *Config) { c.SlowStartDuration = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			cfg := testConfig()
			invalidate(&cfg)
			if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("New() returned error %v, want one that contains %q", err, want)
			}
		})
	}
}

// Guards against settings that are not finite numbers and meet a processor's own conversion to an integer later.
func TestConfigMustBeFinite(t *testing.T) {
	for want, set := range map[string]func(*Config, float64){
		"Classes[1].ObjectiveStretch": func(c *Config, x float64) { c.Classes[1].ObjectiveStretch = x },
		"Classes[0].PriorityWeight":   func(c *Config, x float64) { c.Classes[0].PriorityWeight = x },
		"Tenants[1].Quota":            func(c *Config, x float64) { c.Tenants[1].Quota = x },
		"Bands[0].Width":              func(c *Config, x float64) { c.Bands[0].Width = x },
		"Bands[0].Ratio":              func(c *Config, x float64) { c.Bands[0].Ratio[1] = x },
		"SlowStartCapacity":           func(c *Config, x float64) { c.SlowStartCapacity = x },
		"SlotMemory":                  func(c *Config, x float64) { c.SlotMemory = x },
		"OverloadMultiple":            func(c *Config, x float64) { c.OverloadMultiple = x },
		"Prices.CrossZone":            func(c *Config, x float64) { c.Prices.CrossZone = x },
		"Prices.Handshake":            func(c *Config, x float64) { c.Prices.Handshake = x },
		"Prices.Fetch":                func(c *Config, x float64) { c.Prices.Fetch = x },
		"OverloadMultiple times SlowStartCapacity": func(c *Config, _ float64) {
			c.OverloadMultiple, c.SlowStartCapacity = math.MaxFloat64, 2
		},
	} {
		for _, x := range []float64{math.NaN(), math.Inf(1)} {
			t.Run(fmt.Sprint(want, " ", x), func(t *testing.T) {
				cfg := testConfig()
				cfg.Bands = []Band{{Width: 1, Ratio: []float64{1, 1}}}
				set(&cfg, x)
				if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("New() returned error %v, want one that contains %q", err, want)
				}
			})
		}
	}
}

// Guards against settings that New accepts and that end the process later, on any processor.
func TestExtremeSettings(t *testing.T) {
	values := []float64{-1, 0, math.SmallestNonzeroFloat64, 1e-9, 1, 1e9, 1e300, math.MaxFloat64, math.Inf(1), math.NaN()}
	times := []int64{0, 1, ms, second, math.MaxInt64 / 4}
	accepted := 0
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		value := func() float64 { return values[rng.IntN(len(values))] }
		cfg := testConfig()
		cfg.Dispatchers = 1 + rng.IntN(2)*79
		cfg.OverloadWindow, cfg.SlowStartDuration = times[rng.IntN(len(times))], times[rng.IntN(len(times))]
		for _, field := range []*float64{
			&cfg.SlowStartCapacity, &cfg.SlotMemory, &cfg.OverloadMultiple, &cfg.Prices.CrossZone, &cfg.Prices.Handshake,
			&cfg.Prices.Fetch, &cfg.Tenants[0].Quota, &cfg.Classes[0].ObjectiveStretch, &cfg.Classes[1].PriorityWeight,
		} {
			if rng.IntN(4) == 0 {
				*field = value()
			}
		}
		d, err := New(cfg, seed)
		if err != nil {
			continue
		}
		accepted++
		playJobs(t, d)
	}
	if accepted < 200 {
		t.Errorf("New() accepted %d settings, want 200 at least", accepted)
	}
}

// playJobs steps a dispatcher for 3 s with two workers in slow start, and with jobs that are served after 20 ms.
func playJobs(t *testing.T, d *Dispatcher) {
	h := &harness{t: t, d: d, now: 5 * second}
	workers := testWorkers(2)
	workers[1].StartedAt = h.now
	h.step(endpointsEvent(EndpointsCached, workers...), endpointsEvent(EndpointsDelta))
	var outcomes []Event
	for id := uint64(1); id <= 150; id++ {
		h.advance(20*ms, append(outcomes, h.request(id, int(id%3)))...)
		outcomes = nil
		for _, a := range h.actionsOf(ActionSend) {
			outcomes = append(outcomes, outcome(a.ID, a.Attempt, a.Worker, Served))
		}
	}
}

// A dispatcher without tenants and without workers queues a job until a worker appears in the endpoint list.
func TestNoTenantsAndNoWorkersAtStart(t *testing.T) {
	cfg := Config{Classes: []Class{{LatencyObjective: 100 * ms, Deadline: second, Kind: -1}}, Dispatchers: 1}
	h := newHarness(t, cfg)
	h.step(Event{Kind: EventRequest, Request: Request{ID: 1, Tenant: -1, Deadline: h.now + second}})
	h.wantActions(ActionSend, 0)
	h.advance(10*ms, endpointsEvent(EndpointsComplete, testWorkers(1)...))
	h.wantActions(ActionSend, 1)
}
