package foxlift

import (
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/membership"
)

const testLease = 6 * second

// leaseConfig returns testConfig with an endpoint lease.
func leaseConfig() Config {
	cfg := testConfig()
	cfg.EndpointLease = testLease
	return cfg
}

func pollEvent(kind EndpointUpdate, failure PollFailure) Event {
	return Event{Kind: EventEndpoints, EndpointUpdate: kind, PollFailure: failure}
}

// A scheduler that started with a cached list must send jobs only as the history of its polls allows. Otherwise
// it sends to draining workers by a stale list, or sheds all jobs while discovery is down.
func TestEndpointLease(t *testing.T) {
	type call struct {
		after int64 // since the previous call
		event Event
	}
	const grace, changeLease = membership.FirstAnswerGrace, membership.DiscoveryChangeLease
	confirmed, changed := pollEvent(EndpointsConfirmed, 0), pollEvent(DiscoveryChanged, 0)
	busy, down := pollEvent(EndpointsPollFailed, FailureBusy), pollEvent(EndpointsPollFailed, FailureDown)
	invalid := pollEvent(EndpointsPollFailed, FailureInvalid)
	unanswered := pollEvent(EndpointsPollFailed, FailureUnanswered)
	inherited := Event{Kind: EventEndpoints, EndpointUpdate: EndpointsInherited, EndpointsFreshFor: second}
	for _, c := range []struct {
		name    string
		calls   []call
		elapsed int64
		sends   int // sends for three jobs
		usable  bool
	}{
		{"just started", nil, 0, 0, false},
		{"just before the grace ends", nil, grace - ms, 0, false},
		{"never answered", nil, grace, 0, false},
		{"never answered, busy", []call{{second, busy}}, grace, 0, false},
		{"never answered, invalid", []call{{second, invalid}}, 10 * second, 0, false},
		{"never answered, invalid and then busy", []call{{second, invalid}, {second, busy}}, 10 * second, 0, false},
		{"nobody listens", []call{{second, down}}, 0, 3, true},
		{"nobody listened, then busy", []call{{second, down}, {second, busy}}, testLease - second - ms, 3, true},
		{"nobody listened, then busy, past it", []call{{second, down}, {second, busy}}, testLease - second, 0, false},
		{"answered", []call{{second, confirmed}}, 0, 3, true},
		{"answered long ago, and nothing since", []call{{second, confirmed}}, testLease, 0, false},
		{"changed, within its lease", []call{{second, confirmed}, {second, changed}}, changeLease - ms, 3, true},
		{"changed, past it", []call{{second, confirmed}, {second, changed}}, changeLease, 0, false},
		{"changed, and answered", []call{{second, confirmed}, {second, changed}, {second, confirmed}}, changeLease, 3, true},
		{"down, changed", []call{{second, confirmed}, {second, down}, {second, changed}}, changeLease, 0, false},
		{"busy, within the lease", []call{{second, confirmed}, {second, busy}}, testLease - second - ms, 3, true},
		{"busy, past it", []call{{second, confirmed}, {second, busy}}, testLease - second, 0, false},
		{"invalid, within the lease", []call{{second, confirmed}, {second, invalid}}, testLease - second - ms, 3, true},
		{"invalid, past it", []call{{second, confirmed}, {second, invalid}}, testLease - second, 0, false},
		{"invalid, busy, past it", []call{{second, confirmed}, {second, invalid}, {second, busy}}, 10 * second, 0, false},
		{"unanswered, within the lease", []call{{second, confirmed}, {second, unanswered}}, testLease - second - ms, 3, true},
		{"unanswered, past it", []call{{second, confirmed}, {second, unanswered}}, testLease - second, 0, false},
		{"unanswered, busy, past it", []call{{second, confirmed}, {second, unanswered}, {second, busy}}, testLease, 0, false},
		{"never answered, unanswered", []call{{second, unanswered}}, grace, 0, false},
		{"inherited", []call{{0, inherited}}, second - ms, 3, true},
		{"inherited, past it", []call{{0, inherited}}, second, 0, false},
		{"inherited, then down", []call{{0, inherited}, {0, down}}, testLease - ms, 3, true},
		{"down again", []call{{second, confirmed}, {5 * second, down}, {5 * second, down}}, testLease - ms, 3, true},
		{"down, and nothing since", []call{{second, confirmed}, {second, down}}, testLease, 0, false},
		{"stale, then down", []call{{second, confirmed}, {testLease, busy}, {second, down}}, 0, 0, false},
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
				t.Errorf("EndpointsUsable() = %v, want %v", got, c.usable)
			}
		})
	}
}

// After the lease has expired no attempt may begin, not even at a worker that accepted a job within the lease,
// whatever the failures of the polls show: the worker may be draining. Otherwise jobs are lost with workers that
// drain while discovery has too many callers.
func TestExpiredLeaseSendsNothing(t *testing.T) {
	for _, failure := range []PollFailure{FailureBusy, FailureUnanswered, FailureInvalid} {
		h := newHarness(t, leaseConfig(), testWorkers(9)...)
		h.step(pollEvent(EndpointsConfirmed, 0))
		h.advance(second, pollEvent(EndpointsPollFailed, failure))
		h.advance(testLease - 2*second)
		h.step(h.request(1, idempotent))
		w := h.wantActions(ActionSend, 1)[0].Worker
		h.advance(50*ms, started(1, 0, w), outcome(1, 0, w, Served))
		h.step(h.request(2, idempotent))
		unreachable := h.wantActions(ActionSend, 1)[0].Worker
		h.advance(second, outcome(2, 0, unreachable, Unreachable)) // a retry is due
		h.wantActions(ActionSend, 0)
		h.advance(second, pollEvent(EndpointsPollFailed, failure), h.request(3, idempotent), h.request(4, atMostOnce))
		h.wantActions(ActionSend, 0)
		h.step(pollEvent(EndpointsConfirmed, 0))
		h.advance(100 * ms)
		h.step(h.request(5, idempotent))
		if len(h.actionsOf(ActionSend)) == 0 {
			t.Errorf("failure %d: no job is sent after the list was confirmed", failure)
		}
	}
}

// By a list past its lease no worker may be asked for its load either: it may be draining, and nothing may be sent
// by what it reports.
func TestExpiredLeaseAsksNoWorker(t *testing.T) {
	cfg := leaseConfig()
	cfg.MayHealthCheck, cfg.Dispatchers = true, 2
	for _, age := range []int64{testLease - ms, testLease} {
		h := newHarness(t, cfg, testWorkers(9)...)
		h.step(pollEvent(EndpointsConfirmed, 0))
		h.advance(age)
		h.step(h.request(1, idempotent))
		if got, fresh := len(h.actionsOf(ActionHealthCheck)), age < testLease; got > 0 != fresh {
			t.Errorf("list %d ns old, lease %d: %d health checks, want some while it is fresh alone", age, testLease, got)
		}
	}
}
