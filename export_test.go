package foxlift

import (
	"slices"
	"testing"
)

// What the tests of package foxlift_test use of the random host.

// RandomHostConfigs are the configurations that the random host plays.
func RandomHostConfigs() []Config { return randomConfigs() }

// PlayRandomHost plays the random host for some steps, and calls each with every step.
func RunRandomHost(t *testing.T, seed uint64, cfg Config, steps int, onStep func(int64, []Event, []Action)) {
	host := newRandomHost(t, seed, cfg)
	first := Event{Kind: EventEndpoints, EndpointUpdate: EndpointsCached, Workers: slices.Clone(host.workers)}
	onStep(host.now, []Event{first}, host.log)
	step := func(events []Event) {
		before := len(host.log)
		host.step(events)
		onStep(host.now, events, host.log[before:])
	}
	for range steps {
		host.now += 1 + host.rng.Int64N(6*ms)
		step(host.randomEvents())
	}
	for len(host.inFlight) > 0 || len(host.open) > 0 {
		host.now += 2 * ms
		step(host.dueEvents())
	}
}
