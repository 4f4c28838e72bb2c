package guard

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

const grace = 750 * time.Millisecond

func TestSend(t *testing.T) {
	kept := Send{Grace: grace, AnnouncedTime: time.Second, RemainingTime: time.Second}
	for _, c := range []struct {
		name   string
		change func(*Send)
		want   Invariant
	}{
		{"live", func(*Send) {}, None},
		{"drains, within the grace", func(s *Send) { s.State, s.UnavailableFor = foxlift.Draining, grace }, None},
		{"drains, past it", func(s *Send) { s.State, s.UnavailableFor = foxlift.Draining, grace+1 }, WorkerDrained},
		{"gone, past it", func(s *Send) { s.State, s.UnavailableFor = foxlift.Removed, time.Hour }, WorkerDrained},
		{"its last byte", func(s *Send) { s.State, s.UnavailableFor, s.LastByte = foxlift.Removed, time.Hour, true }, None},
		{"left just now", func(s *Send) { s.DisconnectedFor = DisconnectTolerance }, None},
		{"left", func(s *Send) { s.DisconnectedFor = DisconnectTolerance + 1 }, ClientDisconnected},
		{"told of a little more", func(s *Send) { s.AnnouncedTime += DeadlineTolerance }, None},
		{"told of more", func(s *Send) { s.AnnouncedTime += DeadlineTolerance + 1 }, DeadlineExceeded},
		{"its time is over", func(s *Send) { s.AnnouncedTime, s.RemainingTime = DeadlineTolerance+1, -time.Second }, DeadlineExceeded},
	} {
		s := kept
		if c.change(&s); s.Check() != c.want {
			t.Errorf("%s: %q, want %q", c.name, s.Check(), c.want)
		}
	}
}

func TestRepeat(t *testing.T) {
	for _, c := range []struct {
		r    Repeat
		want Invariant
	}{
		{Repeat{}, LeaseExpired},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.AtMostOnce}, None},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.AtMostOnce, MayHaveRun: true, SameGroup: true, WindowRemaining: time.Hour}, DuplicateRun},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.Idempotent, MayHaveRun: true}, None},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.Deduplicated, MayHaveRun: true, SameGroup: true, WindowRemaining: 1}, None},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.Deduplicated, MayHaveRun: true, SameGroup: true}, DuplicateRun},
		{Repeat{EndpointsTrusted: true, Effect: foxlift.Deduplicated, MayHaveRun: true, WindowRemaining: time.Hour}, DuplicateRun},
	} {
		if got := c.r.Check(); got != c.want {
			t.Errorf("%+v: %q, want %q", c.r, got, c.want)
		}
	}
}

func TestClose(t *testing.T) {
	for c, want := range map[Close]Invariant{
		{}: None, {Owed: true}: Unanswered, {Owed: true, Disconnected: true}: None, {Disconnected: true}: None,
	} {
		if got := c.Check(); got != want {
			t.Errorf("%+v: %q, want %q", c, got, want)
		}
	}
}
