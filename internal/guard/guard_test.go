package guard

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

const grace = 750 * time.Millisecond

func TestSend(t *testing.T) {
	kept := Send{Grace: grace, Told: time.Second, Remains: time.Second}
	for _, c := range []struct {
		name   string
		change func(*Send)
		want   Rule
	}{
		{"live", func(*Send) {}, Kept},
		{"drains, within the grace", func(s *Send) { s.State, s.Off = foxlift.Draining, grace }, Kept},
		{"drains, past it", func(s *Send) { s.State, s.Off = foxlift.Draining, grace+1 }, Drain},
		{"gone, past it", func(s *Send) { s.State, s.Off = foxlift.Removed, time.Hour }, Drain},
		{"its last byte", func(s *Send) { s.State, s.Off, s.LastByte = foxlift.Removed, time.Hour, true }, Kept},
		{"left just now", func(s *Send) { s.LeftAgo = GoneSlack }, Kept},
		{"left", func(s *Send) { s.LeftAgo = GoneSlack + 1 }, Gone},
		{"told of a little more", func(s *Send) { s.Told += DeadlineSlack }, Kept},
		{"told of more", func(s *Send) { s.Told += DeadlineSlack + 1 }, Deadline},
		{"its time is over", func(s *Send) { s.Told, s.Remains = DeadlineSlack+1, -time.Second }, Deadline},
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
		want Rule
	}{
		{Repeat{}, Lease},
		{Repeat{ListTrusted: true, Effect: foxlift.AtMostOnce}, Kept},
		{Repeat{ListTrusted: true, Effect: foxlift.AtMostOnce, MayHaveRun: true, SameGroup: true, WindowLeft: time.Hour}, Duplicate},
		{Repeat{ListTrusted: true, Effect: foxlift.Idempotent, MayHaveRun: true}, Kept},
		{Repeat{ListTrusted: true, Effect: foxlift.Deduplicated, MayHaveRun: true, SameGroup: true, WindowLeft: 1}, Kept},
		{Repeat{ListTrusted: true, Effect: foxlift.Deduplicated, MayHaveRun: true, SameGroup: true}, Duplicate},
		{Repeat{ListTrusted: true, Effect: foxlift.Deduplicated, MayHaveRun: true, WindowLeft: time.Hour}, Duplicate},
	} {
		if got := c.r.Check(); got != c.want {
			t.Errorf("%+v: %q, want %q", c.r, got, c.want)
		}
	}
}

func TestClose(t *testing.T) {
	for c, want := range map[Close]Rule{
		{}: Kept, {Owed: true}: Lost, {Owed: true, Left: true}: Kept, {Left: true}: Kept,
	} {
		if got := c.Check(); got != want {
			t.Errorf("%+v: %q, want %q", c, got, want)
		}
	}
}
