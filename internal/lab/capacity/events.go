package capacity

import (
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// A lifeEvent is what a process meets while the list changes.
type lifeEvent int

const (
	ordinary    lifeEvent = iota
	stopped               // the process stands still meanwhile
	cutOff                // its connection to discovery is reset, and new ones are refused
	silenced              // its connection to discovery hears nothing more
	reloaded              // SIGHUP amid it
	zoneGone              // a zone's workers go at once
	versionBack           // discovery has lost what it wrote last
	released              // so many changes that they are longer than any of today's whole lists
	lifeEvents
)

var eventNames = [lifeEvents]string{
	"ordinary changes", "a stop", "a cut", "a silence", "a reload", "a zone gone", "a version that goes back", "a release",
}

const (
	standstill = 2 * time.Second // that a process is stopped or cut off
	goesBack   = 3               // versions
)

// meet lets the list change amid an event, and ends the event.
func (t *faultsTrial) meet(event lifeEvent) error {
	link := t.Links[0]
	switch event {
	case stopped:
		if err := t.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		t.change()
		<-time.After(standstill)
		return t.process.Signal(syscall.SIGCONT)
	case cutOff:
		link.Cut()
		t.change()
		<-time.After(standstill)
		link.Heal()
	case silenced:
		link.Silence(fleet.There, fleet.Back)
		t.change()
		<-time.After(standstill)
		link.Heal()
	case reloaded:
		t.change()
		if err := t.process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		t.change()
	case zoneGone:
		t.leave(min(TargetWorkers/TargetZones, len(t.names)/2))
	case versionBack:
		// By more versions than the next changes make: nobody can tell versions that have been overtaken.
		if t.Discovery.Version() <= goesBack {
			t.change()
			return nil
		}
		t.Discovery.GoBack(t.Discovery.Version() - goesBack)
		t.changes = nil // what is kept of the lost versions must not be used
		t.change()
		<-time.After(standstill) // in which the process sees it
	case released:
		half := len(t.names) / 2
		t.leave(half)
		t.join(half)
	default:
		t.change()
	}
	return nil
}
