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

var healthWords = map[foxlift.WorkerState]string{
	foxlift.Live: healthActive, foxlift.Draining: healthLeaving, foxlift.Removed: healthLeft,
}

// EndpointsVersion returns the version of the list that is followed, and whether there is one that was
// told since the start by the discovery that is followed now.
func (p *Platform) EndpointsVersion() (version int64, told bool) {
	m := p.machines
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.answered && !m.moved && !m.whole
}

// SnapshotEndpoints returns the list as it is now; false where none was told since the start.
func (p *Platform) SnapshotEndpoints() (*EndpointSnapshot, bool) { return p.machines.save() }

func (m *machines) save() (*EndpointSnapshot, bool) {
	m.mu.Lock()
	if !m.answered || m.moved || m.whole {
		m.mu.Unlock()
		return nil, false
	}
	version, addr := m.version, m.addr
	l := listing{Version: &version, Whole: true, Hosts: make([]listEntry, 0, len(m.entries))}
	for host, e := range m.entries {
		if e.state != foxlift.Removed {
			l.Hosts = append(l.Hosts, listEntry{
				Host: host, Dial: e.dial, Zone: e.zone.Value(), Kind: e.kind.Value(), Cell: e.cell, Health: healthWords[e.state], Born: e.told,
			})
		}
	}
	m.mu.Unlock()
	slices.SortFunc(l.Hosts, func(a, b listEntry) int { return strings.Compare(a.Host, b.Host) })
	text, err := json.Marshal(&l)
	if err != nil {
		return nil, false // it holds nothing that JSON has no form for
	}
	return &EndpointSnapshot{TakenAt: time.Now(), Discovery: addr, Version: version, Endpoints: text}, true
}
