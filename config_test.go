package foxlift

import (
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

// A dispatcher without tenants and without workers queues a job until a worker appears in the endpoint list.
func TestNoTenantsAndNoWorkersAtStart(t *testing.T) {
	cfg := Config{Classes: []Class{{LatencyObjective: 100 * ms, Deadline: second, Kind: -1}}, Dispatchers: 1}
	h := newHarness(t, cfg)
	h.step(Event{Kind: EventRequest, Request: Request{ID: 1, Tenant: -1, Deadline: h.now + second}})
	h.wantActions(ActionSend, 0)
	h.advance(10*ms, endpointsEvent(EndpointsComplete, testWorkers(1)...))
	h.wantActions(ActionSend, 1)
}
