package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift"
)

// An EndpointSnapshot is a scheduler's endpoint list at one time, in the form in which a configuration has the cached
// list. The changes since its version can be asked for.
type EndpointSnapshot struct {
	TakenAt   time.Time       `json:"At"`        // when it was taken
	Discovery string          `json:"Discovery"` // whose versions the list has
	Version   int64           `json:"Version"`   // of the list
	Endpoints json.RawMessage `json:"List"`      // in discovery's form
}

// healthNames are the states in discovery's form.
var healthNames = map[foxlift.WorkerState]string{
	foxlift.Live: healthActive, foxlift.Draining: healthLeaving, foxlift.Removed: healthRemoved,
}

// EndpointsVersion returns the version of the endpoint list, and whether the discovery that is polled now
// has confirmed a list since the start.
func (p *Platform) EndpointsVersion() (version int64, confirmed bool) {
	return p.endpoints.confirmedVersion()
}

// SnapshotEndpoints returns the endpoint list as it is now; false if discovery has not confirmed one since
// the start.
func (p *Platform) SnapshotEndpoints() (*EndpointSnapshot, bool) { return p.endpoints.snapshot() }

func (w *endpointWatch) confirmedVersion() (version int64, confirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.version, w.confirmedLocked()
}

// confirmedLocked reports whether the table is of the discovery that is polled now, and of this run.
func (w *endpointWatch) confirmedLocked() bool { return w.answered && !w.switched && !w.needComplete }

func (w *endpointWatch) snapshot() (*EndpointSnapshot, bool) {
	w.mu.Lock()
	if !w.confirmedLocked() {
		w.mu.Unlock()
		return nil, false
	}
	discovery, response := w.discovery, w.table.snapshot()
	w.mu.Unlock()
	slices.SortFunc(response.Endpoints, func(a, b endpointEntry) int { return strings.Compare(a.ID, b.ID) })
	text, err := json.Marshal(response)
	if err != nil {
		return nil, false // not reached: all of its fields have a JSON form
	}
	return &EndpointSnapshot{
		TakenAt: time.Now(), Discovery: discovery, Version: *response.Version, Endpoints: text,
	}, true
}
