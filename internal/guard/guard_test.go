package guard

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

const grace = 750 * time.Millisecond

func TestSend(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Send)
		want   Invariant
	}{
		{"live", func(*Send) {}, None},
		{"draining, within the grace", func(s *Send) {
			s.State, s.UnavailableFor = foxlift.Draining, grace
		}, None},
		{"draining, past it", func(s *Send) {
			s.State, s.UnavailableFor = foxlift.Draining, grace+1
		}, WorkerDrained},
		{"removed, past it", func(s *Send) {
			s.State, s.UnavailableFor = foxlift.Removed, time.Hour
		}, WorkerDrained},
		{"its last byte", func(s *Send) {
			s.State, s.UnavailableFor, s.LastByte = foxlift.Removed, time.Hour, true
		}, None},
		{"disconnected just now", func(s *Send) {
			s.DisconnectedFor = DisconnectTolerance
		}, None},
		{"disconnected", func(s *Send) {
			s.DisconnectedFor = DisconnectTolerance + 1
		}, ClientDisconnected},
		{"told of a little more", func(s *Send) {
			s.AnnouncedTime += DeadlineTolerance
		}, None},
		{"told of more", func(s *Send) {
			s.AnnouncedTime += DeadlineTolerance + 1
		}, DeadlineExceeded},
		{"its time is over", func(s *Send) {
			s.AnnouncedTime, s.RemainingTime = DeadlineTolerance+1, -time.Second
		}, DeadlineExceeded},
	} {
		send := Send{Grace: grace, AnnouncedTime: time.Second, RemainingTime: time.Second}
		c.change(&send)
		if got := send.Check(); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

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
			t.Errorf("%+v: %q, want %q", c.repeat, got, c.want)
		}
	}
}

func TestClose(t *testing.T) {
	for c, want := range map[Close]Invariant{
		{}: None, {AnswerPending: true}: Unanswered, {AnswerPending: true, Disconnected: true}: None, {Disconnected: true}: None,
	} {
		if got := c.Check(); got != want {
			t.Errorf("%+v: %q, want %q", c, got, want)
		}
	}
}

// The counters' names are what pages and alerts name.
func TestCounterNames(t *testing.T) {
	want := []string{
		"invariant.drain", "invariant.lease", "invariant.gone",
		"invariant.deadline", "invariant.duplicate", "invariant.lost",
	}
	if len(Invariants) != len(want) {
		t.Fatalf("%d invariants, want %d", len(Invariants), len(want))
	}
	for i, invariant := range Invariants {
		if got := invariant.Counter(); got != want[i] {
			t.Errorf("%q, want %q", got, want[i])
		}
	}
}
