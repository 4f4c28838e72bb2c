package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift"
)

// An EndpointSnapshot is a scheduler's machine list at a moment, in the form in which a configuration has the
// list as last known. The changes since its version can be asked for.
type EndpointSnapshot struct {
	TakenAt   time.Time       `json:"At"`        // when it was so
	Discovery string          `json:"Discovery"` // whose versions the list has
	Version   int64           `json:"Version"`   // of the list
	Endpoints json.RawMessage `json:"List"`      // in discovery's form
}

var healthNames = map[foxlift.WorkerState]string{
	foxlift.Live: healthActive, foxlift.Draining: healthLeaving, foxlift.Removed: healthRemoved,
}

// EndpointsVersion returns the version of the list that is followed, and whether there is one that was
// told since the start by the discovery that is followed now.
func (p *Platform) EndpointsVersion() (version int64, confirmed bool) {
	m := p.endpoints
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.answered && !m.switched && !m.needComplete
}

// SnapshotEndpoints returns the list as it is now; false where none was told since the start.
func (p *Platform) SnapshotEndpoints() (*EndpointSnapshot, bool) { return p.endpoints.snapshot() }

func (w *endpointWatch) snapshot() (*EndpointSnapshot, bool) {
	w.mu.Lock()
	if !w.answered || w.switched || w.needComplete {
		w.mu.Unlock()
		return nil, false
	}
	version, addr := w.version, w.discovery
	l := endpointsResponse{Version: &version, Complete: true, Endpoints: make([]endpointEntry, 0, len(w.entries))}
	for host, e := range w.entries {
		if e.state != foxlift.Removed {
			l.Endpoints = append(l.Endpoints, endpointEntry{
				ID: host, Address: e.address, Zone: e.zone.Value(), Kind: e.kind.Value(), Cell: e.cell, Health: healthNames[e.state], StartedMilli: e.announcedStart,
			})
		}
	}
	w.mu.Unlock()
	slices.SortFunc(l.Endpoints, func(a, b endpointEntry) int { return strings.Compare(a.ID, b.ID) })
	text, err := json.Marshal(&l)
	if err != nil {
		return nil, false // it holds nothing that JSON has no form for
	}
	return &EndpointSnapshot{TakenAt: time.Now(), Discovery: addr, Version: version, Endpoints: text}, true
}
