package guard

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

const grace = 750 * time.Millisecond

// Send.Check reports a write outside the grace period, the disconnect tolerance or the deadline tolerance,
// and accepts the limits themselves.
func TestSend(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Send)
		want   Invariant
	}{
		{"live", func(*Send) {}, None},
		{"draining, within the grace period", func(s *Send) {
			s.State, s.UnavailableFor = foxlift.Draining, grace
		}, None},
		{"draining, after the grace period", func(s *Send) {
			s.State, s.UnavailableFor = foxlift.Draining, grace+1
		}, WorkerDrained},
		{"removed, after the grace period", func(s *Send) {
			s.State, s.UnavailableFor = foxlift.Removed, time.Hour
		}, WorkerDrained},
		{"removed, last byte of the attempt", func(s *Send) {
			s.State, s.UnavailableFor, s.LastByte = foxlift.Removed, time.Hour, true
		}, None},
		{"disconnected, within the tolerance", func(s *Send) {
			s.DisconnectedFor = DisconnectTolerance
		}, None},
		{"disconnected, beyond the tolerance", func(s *Send) {
			s.DisconnectedFor = DisconnectTolerance + 1
		}, ClientDisconnected},
		{"announced time within the tolerance", func(s *Send) {
			s.AnnouncedTime += DeadlineTolerance
		}, None},
		{"announced time beyond the tolerance", func(s *Send) {
			s.AnnouncedTime += DeadlineTolerance + 1
		}, DeadlineExceeded},
		{"deadline in the past", func(s *Send) {
			s.AnnouncedTime, s.RemainingTime = DeadlineTolerance+1, -time.Second
		}, DeadlineExceeded},
	} {
		send := Send{Grace: grace, AnnouncedTime: time.Second, RemainingTime: time.Second}
		c.change(&send)
		if got := send.Check(); got != c.want {
			t.Errorf("%s: Check() = %q, want %q", c.name, got, c.want)
		}
	}
}

// Repeat.Check accepts a repeat of a job that may have run only for idempotent classes, or for deduplicated
// classes within the window of the same group of workers.
func TestRepeat(t *testing.T) {
	for _, c := range []struct {
		repeat Repeat
		want   Invariant
	}{
		{Repeat{}, LeaseExpired},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.AtMostOnce}, None},
		{Repeat{
			EndpointsTrusted: true, Effect: foxlift.AtMostOnce,
			MayHaveRun: true, SameGroup: true, WindowRemaining: time.Hour,
		}, DuplicateRun},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.Idempotent, MayHaveRun: true}, None},
		{Repeat{
			EndpointsTrusted: true, Effect: foxlift.Deduplicated,
			MayHaveRun: true, SameGroup: true, WindowRemaining: 1,
		}, None},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.Deduplicated, MayHaveRun: true, SameGroup: true}, DuplicateRun},
		{Repeat{
			EndpointsTrusted: true, Effect: foxlift.Deduplicated,
			MayHaveRun: true, WindowRemaining: time.Hour,
		}, DuplicateRun},
	} {
		if got := c.repeat.Check(); got != c.want {
			t.Errorf("%+v: Check() = %q, want %q", c.repeat, got, c.want)
		}
	}
}

// Close.Check reports only a close that leaves a connected client without an answer.
func TestClose(t *testing.T) {
	for c, want := range map[Close]Invariant{
		{}:                    None,
		{AnswerPending: true}: Unanswered,
		{AnswerPending: true, Disconnected: true}: None,
		{Disconnected: true}:                      None,
	} {
		if got := c.Check(); got != want {
			t.Errorf("%+v: Check() = %q, want %q", c, got, want)
		}
	}
}

// Documentation and alerts use the names of the counters, so that they must not change.
func TestCounterNames(t *testing.T) {
	want := []string{
		"invariant.drain", "invariant.lease", "invariant.gone",
		"invariant.deadline", "invariant.duplicate", "invariant.lost",
	}
	if len(Invariants) != len(want) {
		t.Fatalf("Invariants has %d elements, want %d", len(Invariants), len(want))
	}
	for i, invariant := range Invariants {
		if got := invariant.Counter(); got != want[i] {
			t.Errorf("Counter() = %q, want %q", got, want[i])
		}
	}
}
