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

func endpointsEvent(kind EndpointUpdate, failure PollFailure) Event {
	return Event{Kind: EventEndpoints, EndpointUpdate: kind, PollFailure: failure}
}

// What a scheduler may send after each history of calls to discovery. The rig has started with a saved list.
func TestEndpointLease(t *testing.T) {
	type call struct {
		after int64 // since the one before
		event Event
	}
	confirmed, moved := endpointsEvent(EndpointsConfirmed, 0), endpointsEvent(DiscoveryChanged, 0)
	busy, down, spoilt := endpointsEvent(EndpointsPollFailed, FailureBusy), endpointsEvent(EndpointsPollFailed, FailureDown), endpointsEvent(EndpointsPollFailed, FailureInvalid)
	silent := endpointsEvent(EndpointsPollFailed, FailureUnanswered)
	for _, c := range []struct {
		name    string
		calls   []call
		wait    int64
		sends   int // of three jobs, to workers that have accepted none
		trusted bool
	}{
		{"just started", nil, 0, 0, false},
		{"just before the hold's end", nil, membership.CachedListGrace - ms, 0, false},
		{"never answered", nil, membership.CachedListGrace, 1, true},
		{"never answered, refused", []call{{second, busy}}, membership.CachedListGrace, 1, true},
		{"never answered, spoilt", []call{{second, spoilt}}, tenSeconds, 0, false},
		{"never answered, spoilt and then refused", []call{{second, spoilt}, {second, busy}}, tenSeconds, 0, false},
		{"nobody listens", []call{{second, down}}, 0, 3, true},
		{"nobody listened, then refused", []call{{second, down}, {second, busy}}, 0, 0, false},
		{"answered", []call{{second, confirmed}}, 0, 3, true},
		{"answered long ago, and nothing since", []call{{second, confirmed}}, testLease, 1, true},
		{"moved, within its lease", []call{{second, confirmed}, {second, moved}}, membership.DiscoveryChangeLease - ms, 3, true},
		{"moved, past it", []call{{second, confirmed}, {second, moved}}, membership.DiscoveryChangeLease, 1, true},
		{"moved, and answered", []call{{second, confirmed}, {second, moved}, {second, confirmed}}, membership.DiscoveryChangeLease, 3, true},
		{"nobody listened, and moved", []call{{second, confirmed}, {second, down}, {second, moved}}, membership.DiscoveryChangeLease, 1, true},
		{"refused, within the lease", []call{{second, confirmed}, {second, busy}}, testLease - second - ms, 3, true},
		{"refused, past it", []call{{second, confirmed}, {second, busy}}, testLease - second, 1, true},
		{"spoilt, within the lease", []call{{second, confirmed}, {second, spoilt}}, testLease - second - ms, 3, true},
		{"spoilt, past it", []call{{second, confirmed}, {second, spoilt}}, testLease - second, 0, false},
		{"spoilt, refused, past it", []call{{second, confirmed}, {second, spoilt}, {second, busy}}, tenSeconds, 0, false},
		{"silent, within the lease", []call{{second, confirmed}, {second, silent}}, testLease - second - ms, 3, true},
		{"silent, past it", []call{{second, confirmed}, {second, silent}}, testLease - second, 0, false},
		{"silent and then refused, past it", []call{{second, confirmed}, {second, silent}, {second, busy}}, testLease, 1, true},
		{"never answered, silent", []call{{second, silent}}, membership.CachedListGrace, 1, true},
		{"down, past it", []call{{second, confirmed}, {second, down}}, tenSeconds, 3, true},
		{"answered again", []call{{second, confirmed}, {tenSeconds, spoilt}, {second, confirmed}}, 0, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, leaseConfig(), testWorkers(9)...)
			for _, e := range c.calls {
				h.advance(e.after, e.event)
			}
			h.advance(c.wait)
			h.step(h.request(1, 0), h.request(2, 0), h.request(3, 0))
			h.wantActions(ActionSend, c.sends)
			if got := h.d.EndpointsUsable(); got != c.trusted {
				t.Errorf("trusted: %v", got)
			}
		})
	}
}

const tenSeconds = 10 * second

// By an old list jobs go to workers that have accepted one since, as long as that is not old either, and
// not to one that has turned a job away.
func TestExpiredLeaseUsesWorkersThatAccept(t *testing.T) {
	h := newHarness(t, leaseConfig(), testWorkers(9)...)
	h.step(endpointsEvent(EndpointsConfirmed, 0))
	h.advance(second, endpointsEvent(EndpointsPollFailed, FailureBusy))
	h.advance(testLease - 2*second)
	h.step(h.request(1, 0))
	w := h.wantActions(ActionSend, 1)[0].Worker
	h.advance(50*ms, started(1, 0, w), outcome(1, 0, w, Served))
	h.advance(2 * second)
	h.step(h.request(2, 0))
	if got := h.wantActions(ActionSend, 1)[0].Worker; got != w {
		t.Errorf("sent to %s, which accepted nothing, and not to %s", got, w)
	}
	h.advance(50*ms, outcome(2, 0, w, Saturated))
	tries := h.actionsOf(ActionSend)
	h.advance(second)
	h.step(h.request(3, 0))
	for _, a := range append(tries, h.actionsOf(ActionSend)...) {
		if a.Worker == w {
			t.Errorf("sent to %s, which has turned a job away", w)
		}
	}
	h.step(endpointsEvent(EndpointsConfirmed, 0))
	h.advance(100 * ms)
	h.step(h.request(4, 0))
	if len(h.actionsOf(ActionSend)) == 0 {
		t.Error("nothing is sent by a list that has been confirmed")
	}
}

// A worker's acceptance is as old as the send that it accepted.
func TestAcceptanceIsAsOldAsTheSend(t *testing.T) {
	h := newHarness(t, leaseConfig(), testWorkers(1)...)
	h.step(endpointsEvent(EndpointsConfirmed, 0))
	h.advance(second, endpointsEvent(EndpointsPollFailed, FailureInvalid), h.request(1, 1))
	h.wantActions(ActionSend, 1)
	h.advance(1900*ms, started(1, 0, "w0"), outcome(1, 0, "w0", Served))
	h.advance(testLease - 1900*ms)
	h.step(h.request(2, 0))
	h.wantActions(ActionSend, 0)
}
