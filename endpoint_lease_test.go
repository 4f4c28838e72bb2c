package foxlift

import (
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/membership"
)

const testLease = 6 * second

func leaseConfig() Config {
	cfg := testConfig()
	cfg.EndpointLease = testLease
	return cfg
}

func pollEvent(kind EndpointUpdate, failure PollFailure) Event {
	return Event{Kind: EventEndpoints, EndpointUpdate: kind, PollFailure: failure}
}

// What a scheduler may send after each history of calls to discovery. It has begun with a cached list.
func TestEndpointLease(t *testing.T) {
	type call struct {
		after int64 // since the one before
		event Event
	}
	const grace, changeLease = membership.CachedEndpointsGrace, membership.DiscoveryChangeLease
	confirmed, changed := pollEvent(EndpointsConfirmed, 0), pollEvent(DiscoveryChanged, 0)
	busy := pollEvent(EndpointsPollFailed, FailureBusy)
	down := pollEvent(EndpointsPollFailed, FailureDown)
	invalid := pollEvent(EndpointsPollFailed, FailureInvalid)
	unanswered := pollEvent(EndpointsPollFailed, FailureUnanswered)
	for _, c := range []struct {
		name    string
		calls   []call
		elapsed int64
		sends   int // of three jobs, to workers that have accepted none
		usable  bool
	}{
		{"just started", nil, 0, 0, false},
		{"just before the grace ends", nil, grace - ms, 0, false},
		{"never answered", nil, grace, 1, true},
		{"never answered, busy", []call{{second, busy}}, grace, 1, true},
		{"never answered, invalid", []call{{second, invalid}}, 10 * second, 0, false},
		{"never answered, invalid and then busy", []call{{second, invalid}, {second, busy}}, 10 * second, 0, false},
		{"nobody listens", []call{{second, down}}, 0, 3, true},
		{"nobody listened, then busy", []call{{second, down}, {second, busy}}, 0, 0, false},
		{"answered", []call{{second, confirmed}}, 0, 3, true},
		{"answered long ago, and nothing since", []call{{second, confirmed}}, testLease, 1, true},
		{"changed, within its lease", []call{{second, confirmed}, {second, changed}}, changeLease - ms, 3, true},
		{"changed, past it", []call{{second, confirmed}, {second, changed}}, changeLease, 1, true},
		{"changed, and answered", []call{{second, confirmed}, {second, changed}, {second, confirmed}}, changeLease, 3, true},
		{"down, changed", []call{{second, confirmed}, {second, down}, {second, changed}}, changeLease, 1, true},
		{"busy, within the lease", []call{{second, confirmed}, {second, busy}}, testLease - second - ms, 3, true},
		{"busy, past it", []call{{second, confirmed}, {second, busy}}, testLease - second, 1, true},
		{"invalid, within the lease", []call{{second, confirmed}, {second, invalid}}, testLease - second - ms, 3, true},
		{"invalid, past it", []call{{second, confirmed}, {second, invalid}}, testLease - second, 0, false},
		{"invalid, busy, past it", []call{{second, confirmed}, {second, invalid}, {second, busy}}, 10 * second, 0, false},
		{"unanswered, within the lease", []call{{second, confirmed}, {second, unanswered}}, testLease - second - ms, 3, true},
		{"unanswered, past it", []call{{second, confirmed}, {second, unanswered}}, testLease - second, 0, false},
		{"unanswered, busy, past it", []call{{second, confirmed}, {second, unanswered}, {second, busy}}, testLease, 1, true},
		{"never answered, unanswered", []call{{second, unanswered}}, grace, 1, true},
		{"down, past it", []call{{second, confirmed}, {second, down}}, 10 * second, 3, true},
		{"answered again", []call{{second, confirmed}, {10 * second, invalid}, {second, confirmed}}, 0, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, leaseConfig(), testWorkers(9)...)
			for _, e := range c.calls {
				h.advance(e.after, e.event)
			}
			h.advance(c.elapsed)
			h.step(h.request(1, idempotent), h.request(2, idempotent), h.request(3, idempotent))
			h.wantActions(ActionSend, c.sends)
			if got := h.d.EndpointsUsable(); got != c.usable {
				t.Errorf("usable: %v", got)
			}
		})
	}
}

// Past the lease jobs go to workers that have accepted one since, as long as that is not old either, and
// not to one that has rejected a job.
func TestExpiredLeaseUsesWorkersThatAccept(t *testing.T) {
	h := newHarness(t, leaseConfig(), testWorkers(9)...)
	h.step(pollEvent(EndpointsConfirmed, 0))
	h.advance(second, pollEvent(EndpointsPollFailed, FailureBusy))
	h.advance(testLease - 2*second)
	h.step(h.request(1, idempotent))
	w := h.wantActions(ActionSend, 1)[0].Worker
	h.advance(50*ms, started(1, 0, w), outcome(1, 0, w, Served))
	h.advance(2 * second)
	h.step(h.request(2, idempotent))
	if got := h.wantActions(ActionSend, 1)[0].Worker; got != w {
		t.Errorf("sent to %s, which accepted nothing, and not to %s", got, w)
	}
	h.advance(50*ms, outcome(2, 0, w, Saturated))
	retries := h.actionsOf(ActionSend)
	h.advance(second)
	h.step(h.request(3, idempotent))
	for _, a := range append(retries, h.actionsOf(ActionSend)...) {
		if a.Worker == w {
			t.Errorf("sent to %s, which has rejected a job", w)
		}
	}
	h.step(pollEvent(EndpointsConfirmed, 0))
	h.advance(100 * ms)
	h.step(h.request(4, idempotent))
	if len(h.actionsOf(ActionSend)) == 0 {
		t.Error("nothing is sent by a list that has been confirmed")
	}
}

// A worker's acceptance is as old as the send that it accepted.
func TestAcceptanceIsAsOldAsTheSend(t *testing.T) {
	h := newHarness(t, leaseConfig(), testWorkers(1)...)
	h.step(pollEvent(EndpointsConfirmed, 0))
	h.advance(second, pollEvent(EndpointsPollFailed, FailureInvalid), h.request(1, atMostOnce))
	h.wantActions(ActionSend, 1)
	h.advance(1900*ms, started(1, 0, "w0"), outcome(1, 0, "w0", Served))
	h.advance(testLease - 1900*ms)
	h.step(h.request(2, idempotent))
	h.wantActions(ActionSend, 0)
}
