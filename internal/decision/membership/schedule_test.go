package membership

import (
	"math/rand/v2"
	"testing"
)

// One poll is in progress at a time, and none once changes come by themselves.
func TestPollScheduleHasOnePollInProgress(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewPollSchedule(20 * second)
	s.Start(second, rng)
	if s.Begin(second - 1) {
		t.Error("asks before the start")
	}
	if !s.Begin(2*second) || s.Begin(3*second) {
		t.Error("does not ask once")
	}
	if s.Succeed(); s.Begin(100 * second) {
		t.Error("asks while it is subscribed")
	}
	s.Fail(100*second, rng)
	if s.Begin(100 * second) {
		t.Error("asks again at once")
	}
	if !s.Begin(101 * second) {
		t.Error("does not ask again")
	}
}

// A list that came unasked is no subscription.
func TestPollScheduleUnsolicitedEndpoints(t *testing.T) {
	s := NewPollSchedule(20 * second)
	if s.Succeed(); !s.Begin(0) {
		t.Error("does not ask after a list that came unasked")
	}
}

// The pauses after failures grow to half of the longest interval, and begin anew after an answer.
func TestPollScheduleBackoff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewPollSchedule(8 * second)
	for _, maxBackoff := range []int64{second / 2, second, 2 * second, 4 * second, 4 * second} {
		s.Fail(0, rng)
		if s.backoff != maxBackoff || s.nextAt < maxBackoff/2 || s.nextAt > maxBackoff {
			t.Fatalf("backs off for %d of %d, want up to %d", s.nextAt, s.backoff, maxBackoff)
		}
	}
	s.Succeed()
	if s.Fail(0, rng); s.backoff != second/2 {
		t.Errorf("backs off for %d after an answer", s.backoff)
	}
}
