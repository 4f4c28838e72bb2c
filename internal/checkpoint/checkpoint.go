// Package checkpoint stores a scheduler's endpoint list on its own disk, so that a start costs the
// changes since and not the complete list. It is off unless the operator's file names a path for it.
//
// At a start a checkpoint serves as the cached list that a configuration may give: the first poll asks
// for the changes since its version, and a discovery service that no longer has them answers with the
// complete list. A checkpoint is not used if it is torn, of another form, of another discovery service or
// too old.
//
// The package owns the checkpoint file, and knows in memory which version the file has.
package checkpoint

import (
	"errors"
	"fmt"
	"time"

	"github.com/vatu-meals/foxlift/internal/platform"
	"github.com/vatu-meals/foxlift/internal/statefile"
)

// How often a checkpoint is written, and how old it may be. What has changed since it was written has to
// arrive within the list's lease, or the start is no better off than with the complete list; a zone may
// have been removed in that time:
//
//	((MaxAge + WriteInterval) x changes a second + a zone) x bytes a change / bytes a second + answer <= lease
//
// With the figures of docs/CAPACITY.md (0.116 changes/s of 141 bytes, a zone of 558 workers, 24 KB/s;
// 1.55 s for a poll and its answer of the lease's 6 s, see internal/pollpacing) that is 5.97 s.
const (
	PollInterval    = time.Second      // between two checks of the list's version
	WriteInterval   = 30 * time.Second // between two writes of a list that changes
	RefreshInterval = MaxAge / 8       // between two writes of a list that does not change
	MaxAge          = 30 * time.Minute

	// MaxClockSkew is how far in the future a checkpoint may be. One beyond it was written before the
	// clock was set, and may be of any age.
	MaxClockSkew = time.Minute
)

const (
	magic   = "foxlift list 1\n"
	maxSize = 16 << 20 // bytes: as many as the longest list that is followed
)

// Errors of a checkpoint that exists and is not used.
var (
	ErrStale          = errors.New("the checkpoint is too old")
	ErrOtherDiscovery = errors.New("the checkpoint is of another discovery service")
)

// A Source has the endpoint list that is written. Both methods return false as long as discovery has not
// confirmed a list since the start: an old list must never look like a new one.
type Source interface {
	// EndpointsVersion returns the version of the list.
	EndpointsVersion() (version int64, notified bool)
	// SnapshotEndpoints returns the list.
	SnapshotEndpoints() (*platform.EndpointSnapshot, bool)
}

// A Counter counts checkpoints that were written and those that failed.
type Counter interface{ Add(name string) }

// A Writer loads and writes the checkpoint of one scheduler. It is not safe for concurrent use.
type Writer struct {
	file    statefile.File
	counter Counter

	persisted        bool      // whether the file has a list that can be used
	persistedVersion int64     // of that list
	persistedAt      time.Time // when that list was current
	lastVersion      int64     // of the list when it was last checked
}

// File returns the checkpoint file at a path.
func File(path string) statefile.File {
	return statefile.File{Path: path, Magic: magic, MaxSize: maxSize, Sync: true}
}

// New returns a writer of the checkpoint at a path.
func New(path string, counter Counter) *Writer { return &Writer{file: File(path), counter: counter} }

// Load returns the list in the checkpoint, in discovery's form, if it can be used now with the discovery
// service at an address. The error is os.ErrNotExist if there is no checkpoint.
func (w *Writer) Load(discovery string, now time.Time) ([]byte, error) {
	var saved platform.EndpointSnapshot
	if err := w.file.Read(&saved); err != nil {
		return nil, err
	}
	if saved.Discovery != discovery {
		return nil, ErrOtherDiscovery
	}
	if age := now.Sub(saved.TakenAt); age > MaxAge || age < -MaxClockSkew {
		return nil, fmt.Errorf("%w: by %v", ErrStale, age.Round(time.Second))
	}
	if err := platform.ValidateCachedEndpoints(saved.Endpoints); err != nil {
		return nil, fmt.Errorf("%w: %w", statefile.ErrUnreadable, err)
	}
	w.lastVersion = saved.Version
	w.recordPersisted(saved.Version, saved.TakenAt)
	return saved.Endpoints, nil
}

// WriteIfDue checks the list's version, and writes the list if that is due. After a failed write the next
// call tries again.
func (w *Writer) WriteIfDue(source Source, now time.Time) error {
	version, notified := source.EndpointsVersion()
	if !notified {
		return nil
	}
	if version < w.lastVersion {
		// Discovery has lost its last versions. Those that follow may be other changes under the same
		// numbers, and once they have passed the checkpoint's version nothing would show that.
		w.file.Remove()
		w.persisted = false
	}
	w.lastVersion = version
	if !w.isDue(version, now) {
		return nil
	}
	return w.write(source, now)
}

// isDue reports whether a list of a version is to be written.
func (w *Writer) isDue(version int64, now time.Time) bool {
	age := now.Sub(w.persistedAt)
	switch {
	case !w.persisted:
		return true
	case version != w.persistedVersion:
		return age >= WriteInterval
	default:
		return age >= RefreshInterval
	}
}

// Flush writes the list at the scheduler's shutdown, if it has changed since the last write.
func (w *Writer) Flush(source Source, now time.Time) error {
	version, notified := source.EndpointsVersion()
	if !notified {
		return nil
	}
	if w.persisted && version == w.persistedVersion {
		return nil
	}
	return w.write(source, now)
}

func (w *Writer) write(source Source, now time.Time) error {
	snapshot, notified := source.SnapshotEndpoints()
	if !notified {
		return nil
	}
	if err := w.file.Write(snapshot); err != nil {
		w.counter.Add("checkpoint.failed")
		return err
	}
	w.counter.Add("checkpoint.written")
	w.recordPersisted(snapshot.Version, now)
	return nil
}

// recordPersisted records which list the file has.
func (w *Writer) recordPersisted(version int64, at time.Time) {
	w.persisted = true
	w.persistedVersion = version
	w.persistedAt = at
}
