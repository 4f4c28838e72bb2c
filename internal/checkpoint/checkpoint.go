// Package checkpoint stores a scheduler's endpoint list on the local disk, so that a restarted scheduler
// polls only the changes since then and not the complete list. It is disabled unless the operator's file
// configures a path.
//
// At a start a checkpoint is used like the cached list that a configuration may contain: the first poll asks
// for the changes since its version, and a discovery service that no longer has these changes answers with
// the complete list. A checkpoint is not used if it is truncated or corrupt, has another format, belongs to
// another discovery service, or is too old.
//
// The package owns the checkpoint file, and keeps in memory which version of the list the file contains.
package checkpoint

import (
	"errors"
	"fmt"
	"time"

	"github.com/vatu-meals/foxlift/internal/platform"
	"github.com/vatu-meals/foxlift/internal/statefile"
)

// How often a checkpoint is written, and how old it may be. The changes since the checkpoint have to arrive
// within the lease of the list; otherwise the start is no faster than with the complete list. The changes may
// include the removal of a whole zone:
//
//	((MaxAge + WriteInterval) x changes/s + workers of a zone) x bytes per change / (bytes/s) + answer <= lease
//
// With the figures of docs/CAPACITY.md (0.116 changes/s of 141 bytes, a zone of 558 workers, 24 KB/s; 1.55 s
// for a poll and its answer, a lease of 6 s, see internal/pollpacing) the left side is 5.97 s.
const (
	PollInterval    = time.Second      // interval between checks of the list's version
	WriteInterval   = 30 * time.Second // minimum interval between writes of a list that changes
	RefreshInterval = MaxAge / 8       // interval between writes of a list that does not change
	MaxAge          = 30 * time.Minute // a checkpoint that is older is not used

	// MaxClockSkew is how far in the future the time of a checkpoint may be. A checkpoint beyond that was
	// written before the clock was set, and may have any age.
	MaxClockSkew = time.Minute
)

const (
	magic   = "foxlift list 1\n"
	maxSize = 16 << 20 // bytes; the size limit of an endpoint list
)

// Errors of a checkpoint that exists but cannot be used.
var (
	// ErrStale also means that the time of the checkpoint is more than MaxClockSkew in the future.
	ErrStale          = errors.New("the checkpoint is too old")
	ErrOtherDiscovery = errors.New("the checkpoint belongs to another discovery service")
)

// A Source provides the endpoint list to write. Both methods return false until discovery has confirmed a
// list since the start: otherwise the old list of a checkpoint would be written with a new time.
type Source interface {
	// EndpointsVersion returns the version of the list.
	EndpointsVersion() (version int64, notified bool)
	// SnapshotEndpoints returns the list.
	SnapshotEndpoints() (*platform.EndpointSnapshot, bool)
}

// A Counter counts successful and failed writes of checkpoints. Add increments the counter with a name.
type Counter interface{ Add(name string) }

// A Writer loads and writes the checkpoint of one scheduler. It is not safe for concurrent use.
type Writer struct {
	file    statefile.File
	counter Counter

	persisted        bool      // whether the file contains a list that can be used
	persistedVersion int64     // of that list
	persistedAt      time.Time // time at which that list was current
	lastVersion      int64     // version of the source's list at the last check
}

// File describes the checkpoint file at a path.
func File(path string) statefile.File {
	return statefile.File{Path: path, Magic: magic, MaxSize: maxSize, Sync: true}
}

// New returns a Writer of the checkpoint at a path.
func New(path string, counter Counter) *Writer { return &Writer{file: File(path), counter: counter} }

// Load returns the list of the checkpoint, encoded as discovery sends it, if it can be used now with the
// discovery service at the given address, and records its version as written. The error is os.ErrNotExist if
// there is no checkpoint, and ErrOtherDiscovery, ErrStale or statefile.ErrUnreadable if it cannot be used.
func (w *Writer) Load(discovery string, now time.Time) ([]byte, error) {
	var saved platform.EndpointSnapshot
	if err := w.file.Read(&saved); err != nil {
		return nil, err
	}
	if saved.Discovery != discovery {
		return nil, ErrOtherDiscovery
	}
	if age := now.Sub(saved.TakenAt); age > MaxAge || age < -MaxClockSkew {
		return nil, fmt.Errorf("%w: age %v, limit %v", ErrStale, age.Round(time.Second), MaxAge)
	}
	if err := platform.ValidateCachedEndpoints(saved.Endpoints); err != nil {
		return nil, fmt.Errorf("%w: %w", statefile.ErrUnreadable, err)
	}
	w.lastVersion = saved.Version
	w.recordPersisted(saved.Version, saved.TakenAt)
	return saved.Endpoints, nil
}

// WriteIfDue checks the version of the source's list, and writes the list if a write is due. If the version is
// lower than at the last check, it first removes the checkpoint. After a failed write it returns the error, and
// the next call retries the write. It does nothing while the source has no confirmed list.
func (w *Writer) WriteIfDue(source Source, now time.Time) error {
	version, notified := source.EndpointsVersion()
	if !notified {
		return nil
	}
	if version < w.lastVersion {
		// Discovery has lost its latest versions. It may reuse their numbers for other changes, and once
		// its version exceeds that of the checkpoint the difference could not be detected.
		w.file.Remove()
		w.persisted = false
	}
	w.lastVersion = version
	if !w.isDue(version, now) {
		return nil
	}
	return w.write(source, now)
}

// isDue reports whether a list of the given version is due to be written.
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

// Flush writes the list at the scheduler's shutdown, if its version differs from that in the file or there is no
// usable file. It does nothing if the source has no confirmed list.
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

// write writes the source's list to the file and counts the result. It does nothing if the source has no
// confirmed list.
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

// recordPersisted records the version of the list in the file, and the time at which the list was current.
func (w *Writer) recordPersisted(version int64, at time.Time) {
	w.persisted = true
	w.persistedVersion = version
	w.persistedAt = at
}
