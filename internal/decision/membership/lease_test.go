package membership

import "testing"

const testDuration = 6 * second

// Fresh and AwaitsFirstAnswer must follow the history of polls of a process that started with a cached list. A
// wrong result sends jobs to workers that drain, or holds back all jobs while discovery is down.
func TestLease(t *testing.T) {
	type call struct {
		after int64 // since the previous call
		do    func(l *Lease, now int64)
	}
	confirm := func(after int64) call { return call{after, (*Lease).Confirm} }
	change := func(after int64) call { return call{after, (*Lease).ChangeDiscovery} }
	fail := func(after int64, f PollFailure) call {
		return call{after, func(l *Lease, now int64) { l.RecordFailure(now, f) }}
	}
	inherit := func(remaining int64) call {
		return call{0, func(l *Lease, now int64) { l.Inherit(now, remaining) }}
	}
	for _, c := range []struct {
		name          string
		calls         []call
		elapsed       int64
		fresh, awaits bool
	}{
		{"just started", nil, 0, false, true},
		{"just before the grace's end", nil, FirstAnswerGrace - 1, false, true},
		{"never answered", nil, FirstAnswerGrace, false, false},
		{"never answered, invalid", []call{fail(second, FailureInvalid)}, 10 * second, false, true},
		{"invalid and then busy", []call{fail(0, FailureInvalid), fail(0, FailureBusy)}, 10 * second, false, true},
		{"invalid and then down", []call{fail(0, FailureInvalid), fail(0, FailureDown)}, 0, false, true},
		{"down and then busy", []call{fail(0, FailureDown), fail(0, FailureBusy)}, testDuration - 1, true, false},
		{"down and then busy, past it", []call{fail(0, FailureDown), fail(0, FailureBusy)}, testDuration, false, false},
		{"busy and then down", []call{fail(0, FailureBusy), fail(0, FailureDown)}, 0, false, true},
		{"down since the answer", []call{confirm(0), fail(second, FailureDown), fail(testDuration-1, FailureDown)}, testDuration - 1, true, false},
		{"down long ago", []call{confirm(0), fail(second, FailureDown)}, testDuration, false, false},
		{"stale and then down", []call{confirm(0), fail(second, FailureBusy), fail(testDuration, FailureDown)}, 0, false, false},
		{"changed and then down", []call{confirm(0), change(0), fail(second, FailureDown)}, DiscoveryChangeLease - second, false, false},
		{"never answered, down", []call{fail(0, FailureDown)}, 0, true, false},
		{"confirmed", []call{confirm(second)}, testDuration - 1, true, false},
		{"confirmed long ago", []call{confirm(second)}, testDuration, false, false},
		{"busy since", []call{confirm(second), fail(second, FailureBusy)}, testDuration - second, false, false},
		{"busy, within the lease", []call{confirm(second), fail(second, FailureBusy)}, testDuration - second - 1, true, false},
		{"unanswered since", []call{confirm(second), fail(second, FailureUnanswered)}, testDuration, false, false},
		{"changed, within its lease", []call{confirm(0), change(0)}, DiscoveryChangeLease - 1, true, false},
		{"changed, past it", []call{confirm(0), change(0)}, DiscoveryChangeLease, false, false},
		{"changed late", []call{confirm(0), change(5 * second)}, second - 1, true, false},
		{"changed late, past its lease", []call{confirm(0), change(5 * second)}, second, false, false},
		{"changed twice", []call{confirm(0), change(0), change(3 * second)}, second, false, false},
		{"changed before any answer", []call{change(0)}, 0, false, true},
		{"down, and changed", []call{confirm(0), fail(0, FailureDown), change(0)}, testDuration, false, false},
		{"invalid, and confirmed again", []call{confirm(0), fail(0, FailureInvalid), confirm(0)}, 0, true, false},
		{"inherited", []call{inherit(second)}, second - 1, true, false},
		{"inherited, past it", []call{inherit(second)}, second, false, true},
		{"inherited, stale there", []call{inherit(-1)}, 0, false, true},
		{"inherited too long", []call{inherit(2 * testDuration)}, testDuration, false, false},
		{"inherited, changed", []call{inherit(testDuration), change(0)}, DiscoveryChangeLease, false, true},
		{"confirmed before inherited", []call{confirm(0), {testDuration, func(*Lease, int64) {}}, inherit(second)}, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
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
			if remaining := l.Remaining(now); remaining > 0 != c.fresh || remaining > testDuration {
				t.Errorf("Remaining() = %d with Fresh() = %v, want 1 to %d if fresh, else 0", remaining, c.fresh, testDuration)
			}
		})
	}
	if l := NewLease(0); !l.Fresh(1<<62) || l.AwaitsFirstAnswer(1<<62) {
		t.Errorf("Fresh() = %v, AwaitsFirstAnswer() = %v without a duration, want true, false",
			l.Fresh(1<<62), l.AwaitsFirstAnswer(1<<62))
	}
}
