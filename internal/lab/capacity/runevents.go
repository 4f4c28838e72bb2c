package capacity

import (
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// A runEvent is what a process meets while the list changes.
type runEvent int

const (
	ordinaryChanges    runEvent = iota
	processStopped              // the process stands still meanwhile
	connectionCut               // its connection to discovery is reset, and new ones are refused
	connectionSilenced          // its connection to discovery hears nothing more
	configReloaded              // SIGHUP amid it
	zoneRemoved                 // a zone's workers go at once
	versionRegressed            // discovery has lost what it wrote last
	fleetReplaced               // so many changes that they are longer than any of today's whole lists
	runEventCount
)

var runEventNames = [runEventCount]string{
	"ordinary changes", "a stop", "a cut", "a silence", "a reload", "a zone gone", "a version that goes back", "a release",
}

const (
	interruptionDuration = 2 * time.Second // that a process is stopped or cut off
	regressedVersions    = 3               // versions
)

// meet lets the list change amid an event, and ends the event.
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
		link.Cut()
		t.churnWorkers()
		<-time.After(interruptionDuration)
		link.Heal()
	case connectionSilenced:
		link.Silence(fleet.ToTarget, fleet.FromTarget)
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
		// By more versions than the next changes make: nobody can tell versions that have been overtaken.
		if t.Discovery.Version() <= regressedVersions {
			t.churnWorkers()
			return nil
		}
		t.Discovery.GoBack(t.Discovery.Version() - regressedVersions)
		t.changes = nil // what is kept of the lost versions must not be used
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
