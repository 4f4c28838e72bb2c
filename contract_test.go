package foxlift

import (
	"reflect"
	"testing"
)

// A host that breaks its side of the contract (unknown ids, time that goes back, doubled outcomes) does
// no harm.
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
	h.step(h.request(1, idempotent)) // the same id again
	h.wantActions(ActionSend, 0)
	h.now -= second // time must not go back: it counts as standing still
	h.step(outcome(1, 7, w, Served), outcome(1, -1, w, Served))
	h.now += second
	h.step(outcome(1, 0, w, Served), outcome(1, 0, w, Served))
	if len(h.d.jobs.byID) != 0 || h.d.capacity.inFlightSlots != 0 {
		t.Errorf("%d jobs and %v slots left", len(h.d.jobs.byID), h.d.capacity.inFlightSlots)
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	run := func() (all []Action) {
		host := newRandomHost(t, 42, testConfig())
		host.run(2000)
		return host.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs differ")
	}
}
