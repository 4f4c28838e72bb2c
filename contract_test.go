package foxlift

import (
	"reflect"
	"testing"
)

// The host's side of the contract: what a host that breaks it gets.
func TestBrokenContractIsHarmless(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	r.step(
		outcome(99, 0, "w0", Served), started(99, 3, "nowhere"), Event{Kind: EventClientDisconnected, ID: 99},
		Event{Kind: EventTimer, Token: 12345}, Event{Kind: EventHealthChecked, Worker: "nowhere"},
		Event{Kind: EventMessage, From: -4, Data: []byte("x")}, Event{Kind: EventProgress, Worker: "nowhere"},
		Event{Kind: EventRequest, Request: Request{ID: 5, Class: 77, Deadline: r.now + second}},
	)
	r.step(r.request(1, 0))
	w := r.want(ActionSend, 1)[0].Worker
	r.step(r.request(1, 0)) // the same id again
	r.want(ActionSend, 0)
	r.now -= second // time must not go back: it counts as standing still
	r.step(outcome(1, 7, w, Served), outcome(1, -1, w, Served))
	r.now += second
	r.step(outcome(1, 0, w, Served), outcome(1, 0, w, Served))
	if len(r.d.jobs) != 0 || r.d.inFlightSlots != 0 {
		t.Errorf("%d jobs and %v slots left", len(r.d.jobs), r.d.inFlightSlots)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		f := newFuzz(t, 42, testConfig())
		f.run(2000)
		return f.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs differ")
	}
}
