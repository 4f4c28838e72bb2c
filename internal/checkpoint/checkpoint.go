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
	Look   = time.Second      // between two looks at the list's version
	Every  = 30 * time.Second // between two lists that are written
	Oldest = 30 * time.Minute
	Again  = Oldest / 8  // after this a list is written again though nothing has changed
	Ahead  = time.Minute // a list from the future is from a clock that was set: it may be of any age
)

const (
	mark = "foxlift list 1\n"
	most = 16 << 20 // bytes: as much as the longest list that is followed
)

// Errors of a list that is there and is not used.
var (
	ErrOld     = errors.New("the kept list is too old")
	ErrForeign = errors.New("the kept list is of another discovery")
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
	file    statefile.File
	kept    bool      // there is a list in the file that was written or can be used
	version int64     // of that list,
	at      time.Time // and when it was so
	seen    int64     // version at the last look
	count   Counter
}

// A Counter counts what the keeper does.
type Counter interface{ Add(name string) }

// File returns the file of a path, in the form in which a list is kept.
func File(path string) statefile.File {
	return statefile.File{Path: path, Mark: mark, Most: most, Sync: true}
}

// New returns a keeper with its file.
func New(path string, count Counter) *Writer { return &Writer{file: File(path), count: count} }

// Load returns the list that was kept, in discovery's form, if it can be used now with a discovery. The
// error is os.ErrNotExist where there is none.
func (k *Writer) Load(discovery string, now time.Time) ([]byte, error) {
	var saved platform.EndpointSnapshot
	if err := k.file.Read(&saved); err != nil {
		return nil, err
	}
	if saved.Discovery != discovery {
		return nil, ErrForeign
	}
	if age := now.Sub(saved.TakenAt); age > Oldest || age < -Ahead {
		return nil, fmt.Errorf("%w: by %v", ErrOld, age.Round(time.Second))
	}
	if err := platform.ValidateCachedEndpoints(saved.Endpoints); err != nil {
		return nil, fmt.Errorf("%w: %w", statefile.ErrUnreadable, err)
	}
	k.kept, k.version, k.at, k.seen = true, saved.Version, saved.TakenAt, saved.Version
	return saved.Endpoints, nil
}

// Keep looks at the list's version, and writes the list if that is due. A list that cannot be written is
// counted and tried again.
func (k *Writer) Keep(source Source, now time.Time) error {
	version, told := source.EndpointsVersion()
	if !told {
		return nil
	}
	if version < k.seen {
		// Discovery has lost its last versions. Those that come in their place may be other changes, and
		// once they have overtaken the list that is kept nobody could tell.
		k.file.Remove()
		k.kept = false
	}
	k.seen = version
	if !k.due(version, now) {
		return nil
	}
	return k.write(source, now)
}

// due reports whether a list of a version is to be written.
func (k *Writer) due(version int64, now time.Time) bool {
	switch age := now.Sub(k.at); {
	case !k.kept:
		return true
	case version != k.version:
		return age >= Every
	default:
		return age >= Again
	}
}

// Flush writes the list as it is at the scheduler's end, if it has changed.
func (k *Writer) Flush(source Source, now time.Time) error {
	if version, told := source.EndpointsVersion(); !told || k.kept && version == k.version {
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
		k.count.Add("checkpoint.failed")
		return err
	}
	k.count.Add("checkpoint.written")
	k.kept, k.version, k.at = true, saved.Version, now
	return nil
}
