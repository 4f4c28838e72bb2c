package membership

import "testing"

const testDuration = 6 * second

// A leaseCall is a call of a lease's method some time after the previous call.
type leaseCall struct {
	after int64
	do    func(l *Lease, now int64)
}

func confirmed(after int64) leaseCall { return leaseCall{after, (*Lease).Confirm} }

func changed(after int64) leaseCall { return leaseCall{after, (*Lease).ChangeDiscovery} }

func failed(after int64, f PollFailure) leaseCall {
	return leaseCall{after, func(l *Lease, now int64) { l.RecordFailure(now, f) }}
}

func down(after int64) leaseCall { return failed(after, FailureDown) }

func busy(after int64) leaseCall { return failed(after, FailureBusy) }

func wait(after int64) leaseCall { return leaseCall{after, func(*Lease, int64) {}} }

func inherited(remaining int64) leaseCall {
	return leaseCall{0, func(l *Lease, now int64) { l.Inherit(now, remaining) }}
}

// A leaseCase is a history of calls since the start, and what the lease reports some time after it.
type leaseCase struct {
	name          string
	calls         []leaseCall
	elapsed       int64
	fresh, awaits bool
}

// check plays the history.
func (c leaseCase) check(t *testing.T) {
	l, now := NewLease(testDuration), second
	l.Start(now)
	for _, step := range c.calls {
		now += step.after
		step.do(&l, now)
	}
	now += c.elapsed
	if fresh, awaits := l.Fresh(now), l.AwaitsFirstAnswer(now); fresh != c.fresh || awaits != c.awaits {
		t.Errorf("Fresh() = %v, AwaitsFirstAnswer() = %v, want %v, %v", fresh, awaits, c.fresh, c.awaits)
	}
	if remaining := l.ExpiresAt() - now; remaining > 0 != c.fresh || remaining > testDuration {
		t.Errorf("ExpiresAt() is %d away with Fresh() = %v, want 1 to %d if fresh, else 0 or less",
			remaining, c.fresh, testDuration)
	}
}

// Fresh and AwaitsFirstAnswer must follow the history of polls of a process that started with a cached list and has no
// answer yet. A wrong result sends jobs to workers that drain, or holds back all jobs while discovery is down.
func TestLeaseBeforeFirstAnswer(t *testing.T) {
	for _, c := range []leaseCase{
		{"just started", nil, 0, false, true},
		{"just before the grace's end", nil, FirstAnswerGrace - 1, false, true},
		{"never answered", nil, FirstAnswerGrace, false, false},
		{"never answered, invalid", []leaseCall{failed(second, FailureInvalid)}, 10 * second, false, true},
		{"invalid and then busy", []leaseCall{failed(0, FailureInvalid), busy(0)}, 10 * second, false, true},
		{"invalid and then down", []leaseCall{failed(0, FailureInvalid), down(0)}, 0, false, true},
		{"down and then busy", []leaseCall{down(0), busy(0)}, testDuration - 1, true, false},
		{"down and then busy, past it", []leaseCall{down(0), busy(0)}, testDuration, false, false},
		{"busy and then down", []leaseCall{busy(0), down(0)}, 0, false, true},
		{"never answered, down", []leaseCall{down(0)}, 0, true, false},
		{"changed before any answer", []leaseCall{changed(0)}, 0, false, true},
		{"inherited", []leaseCall{inherited(second)}, second - 1, true, false},
		{"inherited, past it", []leaseCall{inherited(second)}, second, false, true},
		{"inherited, stale there", []leaseCall{inherited(-1)}, 0, false, true},
		{"inherited too long", []leaseCall{inherited(2 * testDuration)}, testDuration, false, false},
		{"inherited, changed", []leaseCall{inherited(testDuration), changed(0)}, DiscoveryChangeLease, false, true},
	} {
		t.Run(c.name, c.check)
	}
}

// The same must hold after discovery has answered.
func TestLease(t *testing.T) {
	for _, c := range []leaseCase{
		{"down since it", []leaseCall{confirmed(0), down(second), down(testDuration - 1)}, testDuration - 1, true, false},
		{"down long ago", []leaseCall{confirmed(0), down(second)}, testDuration, false, false},
		{"stale and then down", []leaseCall{confirmed(0), busy(second), down(testDuration)}, 0, false, false},
		{"changed, down", []leaseCall{confirmed(0), changed(0), down(second)}, DiscoveryChangeLease - second, false, false},
		{"confirmed", []leaseCall{confirmed(second)}, testDuration - 1, true, false},
		{"confirmed long ago", []leaseCall{confirmed(second)}, testDuration, false, false},
		{"busy since", []leaseCall{confirmed(second), busy(second)}, testDuration - second, false, false},
		{"busy, within the lease", []leaseCall{confirmed(second), busy(second)}, testDuration - second - 1, true, false},
		{"unanswered since", []leaseCall{confirmed(second), failed(second, FailureUnanswered)}, testDuration, false, false},
		{"changed, within its lease", []leaseCall{confirmed(0), changed(0)}, DiscoveryChangeLease - 1, true, false},
		{"changed, past it", []leaseCall{confirmed(0), changed(0)}, DiscoveryChangeLease, false, false},
		{"changed late", []leaseCall{confirmed(0), changed(5 * second)}, second - 1, true, false},
		{"changed late, past its lease", []leaseCall{confirmed(0), changed(5 * second)}, second, false, false},
		{"changed twice", []leaseCall{confirmed(0), changed(0), changed(3 * second)}, second, false, false},
		{"down, and changed", []leaseCall{confirmed(0), down(0), changed(0)}, testDuration, false, false},
		{"invalid, and confirmed again", []leaseCall{confirmed(0), failed(0, FailureInvalid), confirmed(0)}, 0, true, false},
		{"confirmed before inherited", []leaseCall{confirmed(0), wait(testDuration), inherited(second)}, 0, false, false},
	} {
		t.Run(c.name, c.check)
	}
	if l := NewLease(0); !l.Fresh(1<<62) || l.AwaitsFirstAnswer(1<<62) {
		t.Errorf("Fresh() = %v, AwaitsFirstAnswer() = %v without a duration, want true, false",
			l.Fresh(1<<62), l.AwaitsFirstAnswer(1<<62))
	}
}
