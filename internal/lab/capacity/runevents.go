package capacity

import (
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// A runEvent is what a process meets while the endpoint list changes.
type runEvent int

const (
	ordinaryChanges    runEvent = iota
	processStopped              // the process stands still meanwhile
	connectionCut               // its connection to discovery is reset, and new ones are refused
	connectionSilenced          // its connection to discovery hears nothing more
	configReloaded              // SIGHUP amid it
	zoneRemoved                 // all workers of a zone leave at once
	versionRegressed            // discovery has lost its last versions
	fleetReplaced               // so many changes that they are longer than any complete list so far
	runEventCount
)

// runEventNames are the names that a trial prints.
var runEventNames = [runEventCount]string{
	ordinaryChanges:    "ordinary changes",
	processStopped:     "a stop",
	connectionCut:      "a cut",
	connectionSilenced: "a silence",
	configReloaded:     "a reload",
	zoneRemoved:        "a zone gone",
	versionRegressed:   "a version that goes back",
	fleetReplaced:      "a release",
}

const (
	interruptionDuration = 2 * time.Second // that a process is stopped or cut off
	regressedVersions    = 3               // that discovery loses
)

// injectEvent lets the endpoint list change amid an event, and ends the event.
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
		// By more versions than the next changes make: versions that have been overtaken cannot be told apart.
		if t.Discovery.Version() <= regressedVersions {
			t.churnWorkers()
			return nil
		}
		t.Discovery.RevertVersion(t.Discovery.Version() - regressedVersions)
		t.changes = nil // a checkpoint of the lost versions must not be used
		t.churnWorkers()
		<-time.After(interruptionDuration) // in which the process sees it
	case fleetReplaced:
		half := len(t.workers) / 2
		t.removeWorkers(half)
		t.addWorkers(half)
	default:
		t.churnWorkers()
	}
	return nil
}
