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
	endpoints = `{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"10.0.0.2:80","site":"z","class":"k",` +
		`"block":1,"health":"active","born_ms":5}]}`
)

// A source is an endpoint list with a version.
type source struct {
	version  int64
	notified bool
	at       time.Time
	text     string
}

func (s *source) EndpointsVersion() (int64, bool) { return s.version, s.notified }

func (s *source) SnapshotEndpoints() (*platform.EndpointSnapshot, bool) {
	snapshot := &platform.EndpointSnapshot{
		TakenAt: s.at, Discovery: discovery, Version: s.version, Endpoints: json.RawMessage(s.text),
	}
	return snapshot, s.notified
}

// A checkpoint is used by the next start with the same discovery service until it is too old.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	now := time.Now()
	set := &counters.Set{}
	writer := New(path, set)
	if _, err := writer.Load(discovery, now); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no checkpoint: %v", err)
	}
	if err := writer.WriteIfDue(&source{version: 7, notified: true, at: now, text: endpoints}, now); err != nil {
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
			t.Errorf("loaded %s", text)
		}
	}
	invalid := &source{version: 8, notified: true, at: now, text: `{"seq":8,"hosts":[{"host":""}]}`}
	if err := writer.Flush(invalid, now); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Load(discovery, now); !errors.Is(err, statefile.ErrUnreadable) {
		t.Errorf("an invalid list: %v", err)
	}
}

// A list is written when it has changed and the last write was some time ago, or when the checkpoint gets
// old; and never before discovery has confirmed one since the start: an old list would look like a new one.
func TestWriteIfDue(t *testing.T) {
	set := &counters.Set{}
	path := filepath.Join(t.TempDir(), "list")
	writer := New(path, set)
	s := &source{version: 0, text: endpoints}
	startedAt := time.Now()
	if err := writer.Flush(s, startedAt); err != nil || set.Get("checkpoint.written") != 0 {
		t.Errorf("flushed before discovery has confirmed a list: %v", err)
	}
	for i, c := range []struct {
		version  int64
		notified bool
		after    time.Duration
		written  int64
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
		s.version, s.notified, s.at = c.version, c.notified, startedAt.Add(c.after)
		if err := writer.WriteIfDue(s, s.at); err != nil {
			t.Fatal(err)
		}
		if got := set.Get("checkpoint.written"); got != c.written {
			t.Errorf("step %d: written %d times, want %d", i, got, c.written)
		}
	}
	// At the shutdown the list is written if it has changed, however short ago the last write was.
	for _, version := range []int64{9, 9} {
		s.version = version
		if err := writer.Flush(s, s.at); err != nil {
			t.Fatal(err)
		}
		if got := set.Get("checkpoint.written"); got != 5 {
			t.Errorf("at the shutdown: written %d times, want 5", got)
		}
	}
}

// A version that goes back removes the checkpoint at once, also that of an earlier process, and also where
// no other can be written: the versions that follow may be other changes.
func TestVersionRegression(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	set := &counters.Set{}
	now := time.Now()
	if err := New(path, set).WriteIfDue(&source{version: 7, notified: true, at: now, text: endpoints}, now); err != nil {
		t.Fatal(err)
	}
	writer := New(path, set)
	if _, err := writer.Load(discovery, now); err != nil {
		t.Fatal(err)
	}
	notDue := &source{version: 10, notified: true, at: now, text: endpoints}
	if err := writer.WriteIfDue(notDue, now); err != nil {
		t.Fatal(err)
	}
	writer.file.MaxSize = 0 // nothing can be written
	if err := writer.WriteIfDue(&source{version: 9, notified: true, at: now, text: endpoints}, now); err == nil {
		t.Error("a list over the bound is written")
	}
	if _, err := New(path, set).Load(discovery, now); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the list of the lost versions is still there: %v", err)
	}
}

// A failed write is counted, and tried again by the next call.
func TestFailedWriteIsRetried(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "directory")
	set := &counters.Set{}
	now := time.Now()
	writer := New(filepath.Join(dir, "list"), set)
	s := &source{version: 7, notified: true, text: endpoints}
	for range 2 {
		if err := writer.WriteIfDue(s, now); err == nil {
			t.Error("written to a directory that does not exist")
		}
	}
	if got := set.Get("checkpoint.failed"); got != 2 {
		t.Errorf("counted %d times", got)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := writer.WriteIfDue(s, now); err != nil {
		t.Error(err)
	}
}

// The bound on a checkpoint's age follows from the list's lease with the figures of the design.
func TestMaxAge(t *testing.T) {
	const (
		changeRate, changeSize, bandwidth = 0.116, 141.0, 24 << 10 // a second, bytes, bytes a second
		zoneWorkers                       = 558
	)
	missed := (MaxAge+WriteInterval).Seconds()*changeRate + zoneWorkers
	if took := missed*changeSize/bandwidth + pollpacing.AnswerBudget.Seconds(); took > pollpacing.MaxPropagationDelay.Seconds() {
		t.Errorf("the changes since take %.2f s, the list's clock has %v", took, pollpacing.MaxPropagationDelay)
	}
}
