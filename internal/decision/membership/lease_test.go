package membership

import "testing"

const testDuration = 6 * second

// Fresh and Usable must follow the history of polls of a process that started with a cached list. A wrong result
// sends jobs to workers that drain, or holds back all jobs while discovery is down.
func TestLease(t *testing.T) {
	type call struct {
		after int64 // since the previous call
		do    func(l *Lease, now int64)
	}
	confirm := func(after int64) call { return call{after, (*Lease).Confirm} }
	change := func(after int64) call { return call{after, (*Lease).ChangeDiscovery} }
	fail := func(after int64, f PollFailure) call {
		return call{after, func(l *Lease, _ int64) { l.RecordFailure(f) }}
	}
	for _, c := range []struct {
		name          string
		calls         []call
		elapsed       int64
		fresh, usable bool
	}{
		{"just started", nil, 0, false, false},
		{"just before the grace's end", nil, CachedEndpointsGrace - 1, false, false},
		{"never answered", nil, CachedEndpointsGrace, false, true},
		{"never answered, invalid", []call{fail(second, FailureInvalid)}, 10 * second, false, false},
		{"invalid and then busy", []call{fail(0, FailureInvalid), fail(0, FailureBusy)}, 10 * second, false, false},
		{"invalid and then down", []call{fail(0, FailureInvalid), fail(0, FailureDown)}, 0, true, true},
		{"down and then busy", []call{fail(0, FailureDown), fail(0, FailureBusy)}, 0, false, false},
		{"confirmed", []call{confirm(second)}, testDuration - 1, true, true},
		{"confirmed long ago", []call{confirm(second)}, testDuration, false, false},
		{"busy since", []call{confirm(second), fail(second, FailureBusy)}, testDuration - second, false, false},
		{"busy, within the lease", []call{confirm(second), fail(second, FailureBusy)}, testDuration - second - 1, true, true},
		{"unanswered since", []call{confirm(second), fail(second, FailureUnanswered)}, testDuration, false, false},
		{"changed, within its lease", []call{confirm(0), change(0)}, DiscoveryChangeLease - 1, true, true},
		{"changed, past it", []call{confirm(0), change(0)}, DiscoveryChangeLease, false, false},
		{"changed late", []call{confirm(0), change(5 * second)}, second - 1, true, true},
		{"changed late, past its lease", []call{confirm(0), change(5 * second)}, second, false, false},
		{"down, and changed", []call{confirm(0), fail(0, FailureDown), change(0)}, testDuration, false, false},
		{"invalid, and confirmed again", []call{confirm(0), fail(0, FailureInvalid), confirm(0)}, 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, now := NewLease(testDuration), second
			l.Start(now)
			for _, step := range c.calls {
				now += step.after
				step.do(&l, now)
			}
			now += c.elapsed
			if fresh, usable := l.Fresh(now), l.Usable(now); fresh != c.fresh || usable != c.usable {
				t.Errorf("Fresh() = %v, Usable() = %v, want %v, %v", fresh, usable, c.fresh, c.usable)
			}
		})
	}
	if l := NewLease(0); !l.Fresh(1<<62) || !l.Usable(1<<62) {
		t.Errorf("Fresh() = %v, Usable() = %v without a duration, want true, true", l.Fresh(1<<62), l.Usable(1<<62))
	}
}

// Unproven workers may be tried once in an explore interval; Confirm resets the interval.
func TestLeaseExplores(t *testing.T) {
	l := NewLease(testDuration)
	if !l.MayExplore(second) {
		t.Error("MayExplore() = false before any send, want true")
	}
	l.RecordExplored(second)
	if l.MayExplore(2*second-1) || !l.MayExplore(2*second) {
		t.Error("MayExplore() is not false before the end of the interval and true from then on")
	}
	if l.Confirm(second); !l.MayExplore(second) {
		t.Error("MayExplore() = false after Confirm(), want true")
	}
	if !l.Covers(second, second+testDuration-1) || l.Covers(second, second+testDuration) {
		t.Error("Covers() is not true within the lease's duration and false after it")
	}
}
