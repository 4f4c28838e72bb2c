package capacity

import (
	"errors"
	"os"
	"time"

	"github.com/vatu-meals/foxlift/internal/checkpoint"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// A startFault is a fault that is injected between two runs of the process.
type startFault int

const (
	noFault         startFault = iota
	truncated                  // the checkpoint file is truncated at a random offset
	bitFlip                    // a random bit of the checkpoint file is inverted
	emptied                    // the checkpoint file is empty
	deleted                    // the checkpoint file is removed
	otherDiscovery             // the checkpoint was taken from another discovery service
	expired                    // the checkpoint is older than checkpoint.MaxAge
	futureTimestamp            // the checkpoint has a time in the future
	compacted                  // discovery no longer has the changes since the checkpoint
	startFaultCount
)

// startFaultNames are the names of faults in the output of a trial.
var startFaultNames = [startFaultCount]string{
	noFault:         "none",
	truncated:       "torn",
	bitFlip:         "bit flip",
	emptied:         "emptied",
	deleted:         "removed",
	otherDiscovery:  "other discovery",
	expired:         "expired",
	futureTimestamp: "future time",
	compacted:       "compacted",
}

// injectFault applies a fault to the checkpoint file and updates checkpointUsable. It does nothing for compacted, which
// runOnce applies to discovery.
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

// rewriteCheckpoint reads the checkpoint, changes it and writes it again. It does nothing if there is no readable
// checkpoint.
func (t *faultsTrial) rewriteCheckpoint(change func(*platform.EndpointSnapshot)) error {
	file := checkpoint.File(t.process.CheckpointPath)
	var saved platform.EndpointSnapshot
	if err := file.Read(&saved); err != nil {
		return nil //nolint:nilerr // no readable checkpoint: the start is without one in any case
	}
	change(&saved)
	return file.Write(saved)
}
