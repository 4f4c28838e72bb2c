package checkpoint

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/platform"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
	"github.com/vatu-meals/foxlift/internal/statefile"
)

const (
	discovery = "10.0.0.1:8500"
	endpoints = `{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"10.0.0.2:80","site":"z","class":"k","block":1,"health":"active","born_ms":5}]}`
)

// source is a list of some version.
type source struct {
	version  int64
	notified bool
	at       time.Time
	text     string
}

func (s *source) EndpointsVersion() (int64, bool) { return s.version, s.notified }

func (s *source) SnapshotEndpoints() (*platform.EndpointSnapshot, bool) {
	return &platform.EndpointSnapshot{TakenAt: s.at, Discovery: discovery, Version: s.version, Endpoints: json.RawMessage(s.text)}, s.notified
}

// What is kept serves the next start with the same discovery while it is young, and no other.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	now := time.Now()
	set := &counters.Set{}
	k := New(path, set)
	if _, err := k.Load(discovery, now); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nothing kept: %v", err)
	}
	if err := k.WriteIfDue(&source{version: 7, notified: true, at: now, text: endpoints}, now); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		discovery string
		after     time.Duration
		want      error
	}{
		{discovery, 0, nil},
		{discovery, MaxAge, nil},
		{discovery, MaxAge + time.Second, ErrStale},
		{discovery, 24 * time.Hour, ErrStale},
		{discovery, -MaxClockSkew, nil},
		{discovery, -MaxClockSkew - time.Second, ErrStale},
		{"10.0.0.2:8500", 0, ErrOtherDiscovery},
	} {
		text, err := New(path, set).Load(c.discovery, now.Add(c.after))
		if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
			t.Errorf("%v later, of %s: %v, want %v", c.after, c.discovery, err, c.want)
		}
		if err == nil && string(text) != endpoints {
			t.Errorf("kept %s", text)
		}
	}
	if err := k.Flush(&source{version: 8, notified: true, at: now, text: `{"seq":8,"hosts":[{"host":""}]}`}, now); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Load(discovery, now); !errors.Is(err, statefile.ErrUnreadable) {
		t.Errorf("a list that is none: %v", err)
	}
}

// A list is written when it has changed and the last one is a while ago, or when what is kept gets old;
// and never before discovery has told one since the start: that would make an old list look new.
func TestWriteIfDue(t *testing.T) {
	set := &counters.Set{}
	path := filepath.Join(t.TempDir(), "list")
	k := New(path, set)
	s := &source{version: 0, text: endpoints}
	began := time.Now()
	for i, c := range []struct {
		version int64
		told    bool
		after   time.Duration
		written int64
	}{
		{7, false, 0, 0},
		{0, true, 0, 1},
		{0, true, WriteInterval, 1},
		{7, true, WriteInterval, 2},
		{8, true, WriteInterval + PollInterval, 2},
		{8, true, 2 * WriteInterval, 3},
		{8, true, RefreshInterval, 3},
		{8, true, 2*WriteInterval + RefreshInterval, 4},
	} {
		s.version, s.notified, s.at = c.version, c.told, began.Add(c.after)
		if err := k.WriteIfDue(s, s.at); err != nil {
			t.Fatal(err)
		}
		if got := set.Get("checkpoint.written"); got != c.written {
			t.Errorf("step %d: written %d times, want %d", i, got, c.written)
		}
	}
	// At the end the list is written if it has changed, however little ago the last was.
	for _, version := range []int64{9, 9} {
		s.version = version
		if err := k.Flush(s, s.at); err != nil {
			t.Fatal(err)
		}
		if got := set.Get("checkpoint.written"); got != 5 {
			t.Errorf("at the end: written %d times, want 5", got)
		}
	}
}

// A version that goes back takes the list that is kept away at once, also one of an earlier process, and
// also where no other can be written: the versions that follow may be other changes.
func TestVersionRegression(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	set := &counters.Set{}
	now := time.Now()
	if err := New(path, set).WriteIfDue(&source{version: 7, notified: true, at: now, text: endpoints}, now); err != nil {
		t.Fatal(err)
	}
	k := New(path, set)
	if _, err := k.Load(discovery, now); err != nil {
		t.Fatal(err)
	}
	if err := k.WriteIfDue(&source{version: 10, notified: true, at: now, text: endpoints}, now); err != nil { // not due
		t.Fatal(err)
	}
	k.file.MaxSize = 0 // nothing can be written
	if err := k.WriteIfDue(&source{version: 9, notified: true, at: now, text: endpoints}, now); err == nil {
		t.Error("a list over the bound is written")
	}
	if _, err := New(path, set).Load(discovery, now); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the list of the lost versions is still there: %v", err)
	}
}

// A disk that takes nothing is counted, and tried again.
func TestFailedWriteIsRetried(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "folder")
	set := &counters.Set{}
	k, s, now := New(filepath.Join(dir, "list"), set), &source{version: 7, notified: true, text: endpoints}, time.Now()
	for range 2 {
		if err := k.WriteIfDue(s, now); err == nil {
			t.Error("kept in a folder that is not there")
		}
	}
	if got := set.Get("checkpoint.failed"); got != 2 {
		t.Errorf("counted %d times", got)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := k.WriteIfDue(s, now); err != nil {
		t.Error(err)
	}
}

// The bound on a list's age follows from the list's clock with the figures of the design.
func TestMaxAge(t *testing.T) {
	const (
		changes, entry, traffic = 0.116, 141.0, 24 << 10 // a second, bytes, bytes a second
		zone                    = 558
	)
	missed := (MaxAge+WriteInterval).Seconds()*changes + zone
	if took := missed*entry/traffic + pollpacing.AnswerBudget.Seconds(); took > pollpacing.MaxPropagationDelay.Seconds() {
		t.Errorf("the changes since take %.2f s, the list's clock has %v", took, pollpacing.MaxPropagationDelay)
	}
}
