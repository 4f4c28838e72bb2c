package platform

import (
	"maps"
	"time"
	"unique"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
)

// endpointTable holds the endpoint list after the last applied response. The mutex of the endpointWatch guards it.
type endpointTable struct {
	settings      *config.Settings
	wallNow       func() time.Time                               // the wall clock, on which other machines report times
	coreNow       func() int64                                   // the core's clock
	onWorkerState func(worker string, state foxlift.WorkerState) // for each worker that a response names or drops

	entries map[string]endpoint
	version int64 // version of the last applied response; 0 before the first
	pruneAt int   // number of entries at which removed workers are deleted
}

// Limits of the entries of removed workers.
const (
	removedRetention = time.Minute // attempts at a removed worker have ended by then
	minPruneEntries  = 256         // fewer entries are not worth a pass over all of them
)

// newEndpointTable returns an empty table on the clocks of this process, whose onWorkerState does nothing.
func newEndpointTable(s *config.Settings) endpointTable {
	return endpointTable{
		settings:      s,
		wallNow:       wallClock,
		coreNow:       core.NewClock().Now,
		onWorkerState: func(string, foxlift.WorkerState) {},
		entries:       map[string]endpoint{},
		pruneAt:       minPruneEntries,
	}
}

// wallClock returns the wall-clock time without a monotonic reading.
func wallClock() time.Time { return time.Now().Round(0) }

// apply updates the table from a valid response of discovery and returns the workers of the response as the decision
// module represents them, with -1 for an unknown zone or kind. A complete response replaces all entries. apply calls
// onWorkerState for each worker of the response, and for each worker that a complete response no longer has.
func (t *endpointTable) apply(response *endpointsResponse) []foxlift.Worker {
	previous := t.entries
	if response.Complete {
		t.entries = make(map[string]endpoint, len(response.Endpoints))
		defer t.reportRemoved(previous)
	}
	t.version = *response.Version
	wall := t.wallNow()
	var workers []foxlift.Worker
	for _, entry := range response.Endpoints {
		state := workerStates[entry.Health]
		start := processStartOf(entry.StartedMilli, wall, t.coreNow)
		if old, ok := previous[entry.ID]; ok && old.announcedStartMilli == entry.StartedMilli {
			start = old.processStart // the same start announced again: steps of the wall clock must not change it
		}
		t.entries[entry.ID] = endpoint{
			address:             entry.Address,
			state:               state,
			unavailableSince:    unavailableSince(previous[entry.ID], state),
			processStart:        start,
			announcedStartMilli: entry.StartedMilli,
			zone:                unique.Make(entry.Zone),
			kind:                unique.Make(entry.Kind),
			cell:                entry.Cell,
		}
		t.onWorkerState(entry.ID, state)
		workers = append(workers, foxlift.Worker{
			ID:        entry.ID,
			Zone:      config.IndexOf(t.settings.Zones, entry.Zone),
			Kind:      config.IndexOf(t.settings.Kinds, entry.Kind),
			Cell:      entry.Cell,
			State:     state,
			StartedAt: start.coreTime,
		})
	}
	if len(t.entries) >= t.pruneAt {
		t.pruneRemoved()
	}
	return workers
}

// checkGrowth returns an oversizedError if the table would have more than maxEntries entries with a response applied.
// Each response is bounded, but many changes could add up to any number.
func (t *endpointTable) checkGrowth(response *endpointsResponse, maxEntries int64) error {
	if response.Complete {
		return nil
	}
	added := int64(0)
	for i := range response.Endpoints {
		if _, known := t.entries[response.Endpoints[i].ID]; !known {
			added++
		}
	}
	if added > 0 && int64(len(t.entries))+added > maxEntries {
		t.pruneRemoved()
	}
	if added > 0 && int64(len(t.entries))+added > maxEntries {
		return oversizedError{"entries", maxEntries}
	}
	return nil
}

// pruneRemoved deletes the entries of workers that were removed before removedRetention. The next pass is due when the
// number of entries has doubled, so that its cost for each change does not depend on the size of the list.
func (t *endpointTable) pruneRemoved() {
	maps.DeleteFunc(t.entries, func(_ string, e endpoint) bool {
		return e.state == foxlift.Removed && time.Since(e.unavailableSince) >= removedRetention
	})
	t.pruneAt = max(minPruneEntries, 2*len(t.entries))
}

// reportRemoved calls onWorkerState for the workers that were in the previous table and are not in this one.
func (t *endpointTable) reportRemoved(previous map[string]endpoint) {
	for worker := range previous {
		if _, present := t.entries[worker]; !present {
			t.onWorkerState(worker, foxlift.Removed)
		}
	}
}

// state returns a worker's state, and the time since which it has not been live; zero for a live worker. A worker that
// is not in the table counts as removed, with a zero time.
func (t *endpointTable) state(worker string) (state foxlift.WorkerState, since time.Time) {
	if e, ok := t.entries[worker]; ok {
		return e.state, e.unavailableSince
	}
	return foxlift.Removed, time.Time{}
}

// snapshot returns the table as a complete response, without removed workers.
func (t *endpointTable) snapshot() *endpointsResponse {
	version := t.version
	response := &endpointsResponse{
		Version: &version, Complete: true, Endpoints: make([]endpointEntry, 0, len(t.entries)),
	}
	for id, e := range t.entries {
		if e.state == foxlift.Removed {
			continue
		}
		response.Endpoints = append(response.Endpoints, endpointEntry{
			ID:           id,
			Address:      e.address,
			Zone:         e.zone.Value(),
			Kind:         e.kind.Value(),
			Cell:         e.cell,
			Health:       healthNames[e.state],
			StartedMilli: e.announcedStartMilli,
		})
	}
	return response
}
