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

// A source is a Source with a fixed endpoint list.
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

// A checkpoint is loaded at the next start with the same discovery service, unless it is too old, too far in
// the future, or contains an invalid list.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	now := time.Now()
	set := &counters.Set{}
	writer := New(path, set)
	if _, err := writer.Load(discovery, now); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Load() without a checkpoint: error %v, want %v", err, os.ErrNotExist)
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
			t.Errorf("Load() %v later, for discovery %s: error %v, want %v", c.after, c.discovery, err, c.want)
		}
		if err == nil && string(text) != endpoints {
			t.Errorf("Load() = %s, want %s", text, endpoints)
		}
	}
	invalid := &source{version: 8, notified: true, at: now, text: `{"seq":8,"hosts":[{"host":""}]}`}
	if err := writer.Flush(invalid, now); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Load(discovery, now); !errors.Is(err, statefile.ErrUnreadable) {
		t.Errorf("Load() of an invalid list: error %v, want %v", err, statefile.ErrUnreadable)
	}
}

// A changed list is written after WriteInterval, an unchanged one after RefreshInterval. No list is written
// before discovery has confirmed one since the start: the old list would get a new time.
func TestWriteIfDue(t *testing.T) {
	set := &counters.Set{}
	path := filepath.Join(t.TempDir(), "list")
	writer := New(path, set)
	s := &source{version: 0, text: endpoints}
	startedAt := time.Now()
	if err := writer.Flush(s, startedAt); err != nil || set.Get("checkpoint.written") != 0 {
		t.Errorf("Flush() before discovery has confirmed a list: error %v, or the list is written", err)
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
			t.Errorf("step %d: list written %d times, want %d", i, got, c.written)
		}
	}
	// At the shutdown a changed list is written, however recent the last write is.
	for _, version := range []int64{9, 9} {
		s.version = version
		if err := writer.Flush(s, s.at); err != nil {
			t.Fatal(err)
		}
		if got := set.Get("checkpoint.written"); got != 5 {
			t.Errorf("after Flush(): list written %d times, want 5", got)
		}
	}
}

// If discovery loses its latest versions, the numbers that it uses next may stand for other changes. A
// version below the last one therefore removes the checkpoint at once, also one that an earlier process
// wrote, and also if no new checkpoint can be written.
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
	writer.file.MaxSize = 0 // every write fails
	if err := writer.WriteIfDue(&source{version: 9, notified: true, at: now, text: endpoints}, now); err == nil {
		t.Error("WriteIfDue() of a list larger than MaxSize returns no error")
	}
	if _, err := New(path, set).Load(discovery, now); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Load() after the version went back: error %v, want %v", err, os.ErrNotExist)
	}
}

// A failed write is counted, and the next call of WriteIfDue retries it.
func TestFailedWriteIsRetried(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "directory")
	set := &counters.Set{}
	now := time.Now()
	writer := New(filepath.Join(dir, "list"), set)
	s := &source{version: 7, notified: true, text: endpoints}
	for range 2 {
		if err := writer.WriteIfDue(s, now); err == nil {
			t.Error("WriteIfDue() to a directory that does not exist returns no error")
		}
	}
	if got := set.Get("checkpoint.failed"); got != 2 {
		t.Errorf("checkpoint.failed is %d, want 2", got)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := writer.WriteIfDue(s, now); err != nil {
		t.Error(err)
	}
}

// The changes since a checkpoint of the maximum age, including a removed zone, must arrive within the lease of
// the list; see MaxAge for the formula and its figures.
func TestMaxAge(t *testing.T) {
	const (
		changeRate, changeSize, bandwidth = 0.116, 141.0, 24 << 10 // changes per second, bytes, bytes per second
		zoneWorkers                       = 558
	)
	missed := (MaxAge+WriteInterval).Seconds()*changeRate + zoneWorkers
	if took := missed*changeSize/bandwidth +
		pollpacing.AnswerBudget.Seconds(); took > pollpacing.MaxPropagationDelay.Seconds() {
		t.Errorf("the changes since the checkpoint take %.2f s, want at most %v", took, pollpacing.MaxPropagationDelay)
	}
}
