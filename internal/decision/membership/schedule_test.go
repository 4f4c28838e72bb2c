package membership

import (
	"math/rand/v2"
	"testing"
)

// At most one poll may be in progress, and none while discovery sends changes unasked.
func TestPollScheduleHasOnePollInProgress(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewPollSchedule(20 * second)
	s.Start(second, rng)
	if s.Begin(second - 1) {
		t.Error("Begin() = true before the start, want false")
	}
	if !s.Begin(2*second) || s.Begin(3*second) {
		t.Error("Begin() is not true exactly once after the start")
	}
	if s.Succeed(); s.Begin(100 * second) {
		t.Error("Begin() = true while subscribed, want false")
	}
	s.Fail(100*second, rng)
	if s.Begin(100 * second) {
		t.Error("Begin() = true immediately after a failure, want false")
	}
	if !s.Begin(101 * second) {
		t.Error("Begin() = false a second after a failure, want true")
	}
}

// A list that arrives without a poll in progress must not count as a subscription.
func TestPollScheduleUnsolicitedEndpoints(t *testing.T) {
	s := NewPollSchedule(20 * second)
	if s.Succeed(); !s.Begin(0) {
		t.Error("Begin() = false after an unasked list, want true")
	}
}

// The backoff must double up to half of maxInterval and start again from minBackoff after an answer.
func TestPollScheduleBackoff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewPollSchedule(8 * second)
	for _, maxBackoff := range []int64{second / 2, second, 2 * second, 4 * second, 4 * second} {
		s.Fail(0, rng)
		if s.backoff != maxBackoff || s.nextAt < maxBackoff/2 || s.nextAt > maxBackoff {
			t.Fatalf("Fail() set nextAt %d, backoff %d, want nextAt from %d to %d, backoff %d",
				s.nextAt, s.backoff, maxBackoff/2, maxBackoff, maxBackoff)
		}
	}
	s.Succeed()
	if s.Fail(0, rng); s.backoff != second/2 {
		t.Errorf("Fail() set backoff %d after an answer, want %d", s.backoff, second/2)
	}
}
