package capacity

import (
	"errors"
	"os"
	"time"

	"github.com/vatu-meals/foxlift/internal/checkpoint"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// A trial of starts: a real process is ended or killed and started again and again, while the list goes
// on changing and something happens to the file in which it keeps its list. What a start costs is
// counted on the link to discovery, and each start has to come to the list as it is.

// A startFault is what happens between the end of one life and the next.
type startFault int

const (
	noFault startFault = iota
	truncated
	bitFlip
	emptied
	deleted
	otherDiscovery
	expired
	futureTimestamp
	compacted // discovery no longer has the changes since
	startFaultCount
)

var startFaultNames = [startFaultCount]string{"none", "torn", "bit flip", "emptied", "removed", "of another discovery", "from long ago", "from the future", "compacted"}

// spoil does a fault to what is kept, or to discovery.
func (t *faultsTrial) injectFault(fault startFault) error {
	path := t.process.Checkpoint
	t.checkpointUsable = t.checkpointUsable && fault == noFault
	switch {
	case t.WithoutCheckpoint || fault == noFault || fault == compacted:
		return nil
	case fault == deleted:
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		return nil
	case fault == otherDiscovery:
		return t.rewriteCheckpoint(func(s *platform.EndpointSnapshot) { s.Discovery = "127.0.0.9:1" })
	case fault == expired:
		return t.rewriteCheckpoint(func(s *platform.EndpointSnapshot) { s.TakenAt = s.TakenAt.Add(-checkpoint.MaxAge - time.Hour) })
	case fault == futureTimestamp:
		return t.rewriteCheckpoint(func(s *platform.EndpointSnapshot) { s.TakenAt = s.TakenAt.Add(checkpoint.MaxAge) })
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	switch fault {
	case truncated:
		data = data[:t.rng.IntN(len(data))]
	case bitFlip:
		data[t.rng.IntN(len(data))] ^= 1 << t.rng.IntN(8)
	case emptied:
		data = nil
	}
	return os.WriteFile(path, data, 0o600)
}

// rewrite changes a list that is kept, in its own form.
func (t *faultsTrial) rewriteCheckpoint(change func(*platform.EndpointSnapshot)) error {
	file := checkpoint.File(t.process.Checkpoint)
	var saved platform.EndpointSnapshot
	if err := file.Read(&saved); err != nil {
		return nil // there is none, or it was spoilt before: the start is without one either way
	}
	change(&saved)
	return file.Write(saved)
}
