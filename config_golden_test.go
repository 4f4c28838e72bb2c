package foxlift_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestConfigErrors compares the errors of New for invalid Configs with a golden file: the simulator receives
// them.
func TestConfigErrors(t *testing.T) {
	var b strings.Builder
	for _, invalidate := range []func(*foxlift.Config){
		func(c *foxlift.Config) { c.Classes = nil },
		func(c *foxlift.Config) { c.Dispatchers = 0 },
		func(c *foxlift.Config) { c.Dispatchers = foxlift.MaxDispatchers + 1 },
		func(c *foxlift.Config) { c.Index = 1 },
		func(c *foxlift.Config) { c.Gauges = make([]foxlift.Gauge, foxlift.MaxGauges+1) },
		func(c *foxlift.Config) { c.Classes[1].LatencyObjective = -1 },
		func(c *foxlift.Config) { c.Classes[1].Deadline = -1 },
		func(c *foxlift.Config) { c.Classes[1].KeyTTL = -1 },
		func(c *foxlift.Config) { c.Classes[1].ObjectiveStretch = -1 },
		func(c *foxlift.Config) { c.Classes[1].Effect = foxlift.AtMostOnce + 1 },
		func(c *foxlift.Config) { c.Classes[1].Scope = foxlift.ScopeCell + 1 },
		func(c *foxlift.Config) { c.Classes[1].Kind = -2 },
		func(c *foxlift.Config) { c.Tenants[1].Quota = math.NaN() },
		func(c *foxlift.Config) { c.Bands = []foxlift.Band{{Width: -1, Ratio: []float64{1, 1, 1}}} },
		func(c *foxlift.Config) { c.Bands = []foxlift.Band{{Width: 1, Ratio: []float64{1}}} },
		func(c *foxlift.Config) { c.MaxPollInterval = -1 },
		func(c *foxlift.Config) { c.EndpointLease = -1 },
		func(c *foxlift.Config) { c.SlowStartDuration = -1 },
		func(c *foxlift.Config) { c.OverloadWindow = -1 },
		func(c *foxlift.Config) { c.MaxRetryAfter = -1 },
		func(c *foxlift.Config) { c.ConnIdle = -1 },
		func(c *foxlift.Config) { c.AnswerGrace = -1 },
	} {
		cfg := baseConfig()
		invalidate(&cfg)
		_, err := foxlift.New(cfg, 1)
		fmt.Fprintln(&b, err)
	}
	golden.Check(t, "config-errors.txt", []byte(b.String()))
}
