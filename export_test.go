package foxlift

import (
	"slices"
	"testing"
)

// Access to the random host of the fuzz tests for package foxlift_test.

// RandomHostConfigs returns the configurations that the random host runs with.
func RandomHostConfigs() []Config { return randomConfigs() }

// RunRandomHost runs the random host for the given number of steps and then until all its jobs have ended. It calls
// onStep with the time, the events and the actions of every step.
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
