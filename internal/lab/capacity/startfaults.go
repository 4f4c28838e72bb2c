package capacity

import (
	"errors"
	"os"
	"time"

	"github.com/vatu-meals/foxlift/internal/checkpoint"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// A startFault is what happens between the end of one run of the process and the next.
type startFault int

const (
	noFault         startFault = iota
	truncated                  // the checkpoint file, at any place
	bitFlip                    // in the checkpoint file
	emptied                    // the checkpoint file
	deleted                    // the checkpoint file
	otherDiscovery             // the checkpoint is of another discovery,
	expired                    // too old,
	futureTimestamp            // or from the future
	compacted                  // discovery no longer has the changes since
	startFaultCount
)

// startFaultNames are the names that a trial prints.
var startFaultNames = [startFaultCount]string{
	noFault:         "none",
	truncated:       "torn",
	bitFlip:         "bit flip",
	emptied:         "emptied",
	deleted:         "removed",
	otherDiscovery:  "of another discovery",
	expired:         "from long ago",
	futureTimestamp: "from the future",
	compacted:       "compacted",
}

// injectFault does a fault to the checkpoint. Compaction is discovery's own, and comes later.
func (t *faultsTrial) injectFault(fault startFault) error {
	path := t.process.CheckpointPath
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
		return t.rewriteCheckpoint(func(s *platform.EndpointSnapshot) {
			s.TakenAt = s.TakenAt.Add(-checkpoint.MaxAge - time.Hour)
		})
	case fault == futureTimestamp:
		return t.rewriteCheckpoint(func(s *platform.EndpointSnapshot) {
			s.TakenAt = s.TakenAt.Add(checkpoint.MaxAge)
		})
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

// rewriteCheckpoint changes a checkpoint in its own format, where there is one that can be read.
func (t *faultsTrial) rewriteCheckpoint(change func(*platform.EndpointSnapshot)) error {
	file := checkpoint.File(t.process.CheckpointPath)
	var saved platform.EndpointSnapshot
	if err := file.Read(&saved); err != nil {
		return nil //nolint:nilerr // there is none, or it was damaged before: the start is without one either way
	}
	change(&saved)
	return file.Write(saved)
}
