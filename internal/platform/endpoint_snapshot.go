package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift"
)

// EndpointSnapshot is a scheduler's endpoint list at one time, in the format of the cached list in a configuration.
// A scheduler that loads it can request the changes since its version.
type EndpointSnapshot struct {
	TakenAt   time.Time       `json:"At"`        // time of the snapshot
	Discovery string          `json:"Discovery"` // address of the discovery that assigned the version
	Version   int64           `json:"Version"`   // version of the list
	Endpoints json.RawMessage `json:"List"`      // the list, in the format of a response of discovery

	// FreshFor is for how long after TakenAt jobs may be sent by the list if discovery does not answer; 0: not known.
	FreshFor time.Duration `json:"FreshFor,omitempty"`
}

// healthNames maps worker states to their names in discovery's protocol.
var healthNames = map[foxlift.WorkerState]string{
	foxlift.Live: healthActive, foxlift.Draining: healthLeaving, foxlift.Removed: healthRemoved,
}

// EndpointsVersion returns the version of the endpoint list, and whether the discovery that is polled now has
// confirmed the list since the start of this process.
func (p *Platform) EndpointsVersion() (version int64, confirmed bool) {
	return p.endpoints.confirmedVersion()
}

// SnapshotEndpoints returns the current endpoint list without removed workers; false if the discovery that is polled
// now has not confirmed a list since the start of this process.
func (p *Platform) SnapshotEndpoints() (*EndpointSnapshot, bool) { return p.endpoints.snapshot() }

// confirmedVersion implements Platform.EndpointsVersion.
func (w *endpointWatch) confirmedVersion() (version int64, confirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.version, w.confirmedLocked()
}

// confirmedLocked reports whether the table comes from a response that the discovery that is polled now has sent to
// this process.
func (w *endpointWatch) confirmedLocked() bool { return w.answered && !w.switched && !w.needComplete }

// snapshot implements Platform.SnapshotEndpoints. The entries are sorted by worker ID.
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
		return nil, false // not reached: every field of the response can be encoded as JSON
	}
	return &EndpointSnapshot{
		TakenAt: time.Now(), Discovery: discovery, Version: *response.Version, Endpoints: text,
	}, true
}
