package foxlift

import (
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// A loop with fewer than 6 samples keeps its state, except in the period in which it is this dispatcher's
// turn to run its loops.
func TestLatencyLoopKeepsModelWithoutSamples(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Index = 4, 1
	h := newHarness(t, cfg, testWorkers(4)...)
	c := &h.d.classes[0]
	c.setLoop(func(s *admission.LoopState) { s.Parameters, s.Input = [3]float64{0.1, 0.4, 0.4}, 0.5 })
	for range 5 {
		c.loop.Sample(1.5)
	}
	kept := c.loop.State()
	setRate(h.d, func(s *admission.RateState) { s.Periods = 1 }) // the next period is not this dispatcher's turn
	h.d.runControlLoops()
	if c.loop.State() != kept {
		t.Errorf("runControlLoops() with 5 samples changed the loop to %+v, want %+v", c.loop.State(), kept)
	}
	setRate(h.d, func(s *admission.RateState) { s.Periods = 4 })
	h.d.runControlLoops()
	if now := c.loop.State(); now.Parameters == kept.Parameters && now.Covariance == kept.Covariance {
		t.Errorf("runControlLoops() in this dispatcher's turn left the model at %+v, want an update", now)
	}
}

// At two jobs per second a loop never has 6 samples in one period. The samples must accumulate until the loop
// runs, or its model would stay stale.
func TestLatencyLoopAccumulatesSamples(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Index = 50, 49
	h := newHarness(t, cfg, testWorkers(1)...)
	c := &h.d.classes[0]
	for i := range 4 {
		c.loop.Sample(1.5)
		c.loop.Sample(1.5)
		h.d.runControlLoops()
		if ran := c.loop.State().Output != 0; ran != (i >= 2) {
			t.Fatalf("loop ran after %d samples: %v, want a run at 6", 2*i+2, ran)
		}
		if i == 2 {
			return
		}
	}
}
