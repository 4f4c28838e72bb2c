// Package checkpoint keeps a scheduler's machine list on its own disk, so that a start costs the changes
// since, and not the whole list. It is off unless the operator's file names a file for it.
//
// A list that is kept is as good as the list as last known in a configuration: the first call asks for
// the changes since its version, and a discovery that no longer has them answers with the whole list.
// What is torn, of another form or discovery, or too old is not used.
package checkpoint

import (
	"errors"
	"fmt"
	"time"

	"github.com/vatu-meals/foxlift/internal/platform"
	"github.com/vatu-meals/foxlift/internal/statefile"
)

// How old a list may be. What has changed since has to arrive within the list's clock, or the start is
// no better off than with the whole list; a zone may have gone meanwhile:
//
//	((Oldest + Every) x changes a second + a zone) x bytes a change / bytes a second + answer <= clock
//
// With the figures of docs/CAPACITY.md (0.116 changes/s of 141 bytes, a zone of 558 workers, 24 KB/s;
// 1.55 s for a call and its answer of the clock's 6 s, see internal/pollpacing) that is 5.97 s.
const (
	PollInterval    = time.Second      // between two looks at the list's version
	WriteInterval   = 30 * time.Second // between two lists that are written
	MaxAge          = 30 * time.Minute
	RefreshInterval = MaxAge / 8  // after this a list is written again though nothing has changed
	MaxClockSkew    = time.Minute // a list from the future is from a clock that was set: it may be of any age
)

const (
	magic   = "foxlift list 1\n"
	maxSize = 16 << 20 // bytes: as much as the longest list that is followed
)

// Errors of a list that is there and is not used.
var (
	ErrStale          = errors.New("the kept list is too old")
	ErrOtherDiscovery = errors.New("the kept list is of another discovery")
)

// A Source is whose list is kept.
type Source interface {
	// EndpointsVersion returns the version of the list, and whether it was told since the start.
	EndpointsVersion() (version int64, told bool)
	// SnapshotEndpoints returns the list; false where none was told since the start.
	SnapshotEndpoints() (*platform.EndpointSnapshot, bool)
}

// A Keeper keeps the list of one scheduler. It is not safe for concurrent use.
type Writer struct {
	file             statefile.File
	persisted        bool      // there is a list in the file that was written or can be used
	persistedVersion int64     // of that list,
	persistedAt      time.Time // and when it was so
	lastVersion      int64     // version at the last look
	counter          Counter
}

// A Counter counts what the keeper does.
type Counter interface{ Add(name string) }

// File returns the file of a path, in the form in which a list is kept.
func File(path string) statefile.File {
	return statefile.File{Path: path, Magic: magic, MaxSize: maxSize, Sync: true}
}

// New returns a keeper with its file.
func New(path string, count Counter) *Writer { return &Writer{file: File(path), counter: count} }

// Load returns the list that was kept, in discovery's form, if it can be used now with a discovery. The
// error is os.ErrNotExist where there is none.
func (k *Writer) Load(discovery string, now time.Time) ([]byte, error) {
	var saved platform.EndpointSnapshot
	if err := k.file.Read(&saved); err != nil {
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
	k.persisted, k.persistedVersion, k.persistedAt, k.lastVersion = true, saved.Version, saved.TakenAt, saved.Version
	return saved.Endpoints, nil
}

// Keep looks at the list's version, and writes the list if that is due. A list that cannot be written is
// counted and tried again.
func (k *Writer) WriteIfDue(source Source, now time.Time) error {
	version, told := source.EndpointsVersion()
	if !told {
		return nil
	}
	if version < k.lastVersion {
		// Discovery has lost its last versions. Those that come in their place may be other changes, and
		// once they have overtaken the list that is kept nobody could tell.
		k.file.Remove()
		k.persisted = false
	}
	k.lastVersion = version
	if !k.isDue(version, now) {
		return nil
	}
	return k.write(source, now)
}

// due reports whether a list of a version is to be written.
func (k *Writer) isDue(version int64, now time.Time) bool {
	switch age := now.Sub(k.persistedAt); {
	case !k.persisted:
		return true
	case version != k.persistedVersion:
		return age >= WriteInterval
	default:
		return age >= RefreshInterval
	}
}

// Flush writes the list as it is at the scheduler's end, if it has changed.
func (k *Writer) Flush(source Source, now time.Time) error {
	if version, told := source.EndpointsVersion(); !told || k.persisted && version == k.persistedVersion {
		return nil
	}
	return k.write(source, now)
}

func (k *Writer) write(source Source, now time.Time) error {
	saved, told := source.SnapshotEndpoints()
	if !told {
		return nil
	}
	if err := k.file.Write(saved); err != nil {
		k.counter.Add("checkpoint.failed")
		return err
	}
	k.counter.Add("checkpoint.written")
	k.persisted, k.persistedVersion, k.persistedAt = true, saved.Version, now
	return nil
}
