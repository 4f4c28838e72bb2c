package capacity

import (
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// A runEvent is an event during a run of the process, amid which the endpoint list changes.
type runEvent int

const (
	ordinaryChanges    runEvent = iota // no event
	processStopped                     // the process is stopped by SIGSTOP during the changes
	connectionCut                      // its connection to discovery is reset, and new ones are refused
	connectionSilenced                 // its connection to discovery stays open, but carries no data
	configReloaded                     // the process receives SIGHUP between two changes
	zoneRemoved                        // as many workers as a zone has leave at once
	versionRegressed                   // discovery loses its last versions
	fleetReplaced                      // half of the workers are replaced: the changes are longer than any list so far
	runEventCount
)

// runEventNames are the names of events in the output of a trial.
var runEventNames = [runEventCount]string{
	ordinaryChanges:    "ordinary changes",
	processStopped:     "process stopped",
	connectionCut:      "connection cut",
	connectionSilenced: "connection silenced",
	configReloaded:     "configuration reload",
	zoneRemoved:        "zone removed",
	versionRegressed:   "version regression",
	fleetReplaced:      "release",
}

const (
	interruptionDuration = 2 * time.Second // time for which a process is stopped or cut off
	regressedVersions    = 3               // versions that discovery loses
)

// injectEvent changes the endpoint list amid an event, and ends the event.
func (t *faultsTrial) injectEvent(event runEvent) error {
	link := t.Links[0]
	switch event {
	case processStopped:
		if err := t.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		t.churnWorkers()
		<-time.After(interruptionDuration)
		return t.process.Signal(syscall.SIGCONT)
	case connectionCut:
		link.Disconnect()
		t.churnWorkers()
		<-time.After(interruptionDuration)
		link.Heal()
	case connectionSilenced:
		link.Block(fleet.ToTarget, fleet.FromTarget)
		t.churnWorkers()
		<-time.After(interruptionDuration)
		link.Heal()
	case configReloaded:
		t.churnWorkers()
		if err := t.process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		t.churnWorkers()
	case zoneRemoved:
		t.removeWorkers(min(TargetWorkers/TargetZones, len(t.workers)/2))
	case versionRegressed:
		// Discovery loses more versions than the next changes add. If the versions after the regression reached a lost
		// number again, the process could not distinguish them.
		if t.Discovery.Version() <= regressedVersions {
			t.churnWorkers()
			return nil
		}
		t.Discovery.RevertVersion(t.Discovery.Version() - regressedVersions)
		t.changes = nil // a checkpoint of the lost versions must not be used
		t.churnWorkers()
		<-time.After(interruptionDuration) // the process observes the regression in this time
	case fleetReplaced:
		half := len(t.workers) / 2
		t.removeWorkers(half)
		t.addWorkers(half)
	default:
		t.churnWorkers()
	}
	return nil
}
