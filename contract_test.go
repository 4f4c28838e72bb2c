package foxlift

import (
	"reflect"
	"testing"
)

// A host that violates the contract, with events about unknown IDs, a time that goes back, or a second outcome
// of an attempt, causes no panic and leaves no job or slot behind.
func TestBrokenContractIsHarmless(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	h.step(
		outcome(99, 0, "w0", Served), started(99, 3, "nowhere"), disconnectEvent(99),
		timerEvent(12345), Event{Kind: EventHealthChecked, Worker: "nowhere"},
		Event{Kind: EventMessage, From: -4, Data: []byte("x")}, Event{Kind: EventProgress, Worker: "nowhere"},
		Event{Kind: EventRequest, Request: Request{ID: 5, Class: 77, Deadline: h.now + second}},
	)
	h.step(h.request(1, idempotent))
	w := h.wantActions(ActionSend, 1)[0].Worker
	h.step(h.request(1, idempotent)) // the same ID again
	h.wantActions(ActionSend, 0)
	h.now -= second // an earlier time counts as the last one
	h.step(outcome(1, 7, w, Served), outcome(1, -1, w, Served))
	h.now += second
	h.step(outcome(1, 0, w, Served), outcome(1, 0, w, Served))
	if len(h.d.jobs.byID) != 0 || h.d.capacity.inFlightSlots != 0 {
		t.Errorf("%d jobs and %v slots left, want none", len(h.d.jobs.byID), h.d.capacity.inFlightSlots)
	}
}

// Two dispatchers with the same seed return the same actions for the same events.
func TestSameEventsGiveTheSameActions(t *testing.T) {
	run := func() (all []Action) {
		host := newRandomHost(t, 42, testConfig())
		host.run(2000)
		return host.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with seed 42 differ: %d and %d actions", len(a), len(b))
	}
}
