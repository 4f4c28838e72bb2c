package platform

import (
	"context"
	"time"
	"unique"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

// load takes the list as last known before the start.
func (w *endpointWatch) load(cached []byte) ([]foxlift.Worker, error) {
	l, err := parseCached(cached)
	if l == nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.applyLocked(l), nil
}

// removeIdleLocked puts an answer into the list and returns it in the module's terms.
func (w *endpointWatch) applyLocked(l *endpointsResponse) []foxlift.Worker {
	before := w.entries
	if l.Complete {
		w.entries = make(map[string]endpoint, len(l.Endpoints))
	}
	w.version, w.needComplete, w.conn, w.reading = *l.Version, false, nil, false
	wall := w.wall()
	var workers []foxlift.Worker
	if l.Complete {
		defer w.reportRemoved(before)
	}
	for _, h := range l.Endpoints {
		state := workerStates[h.Health]
		start := processStartOf(h.StartedMilli, wall, w.clock)
		if old, ok := before[h.ID]; ok && old.announcedStart == h.StartedMilli {
			start = old.processStart // told again, it is the same start, wherever the wall clock is now
		}
		w.entries[h.ID] = endpoint{
			address: h.Address, state: state, unavailableSince: unavailableSince(before[h.ID], state), processStart: start, announcedStart: h.StartedMilli,
			zone: unique.Make(h.Zone), kind: unique.Make(h.Kind), cell: h.Cell,
		}
		w.workerChanged(h.ID, state)
		workers = append(workers, foxlift.Worker{
			ID: h.ID, Zone: config.Find(w.settings.Zones, h.Zone), Kind: config.Find(w.settings.Kinds, h.Kind),
			Cell: h.Cell, State: state, StartedAt: start.coreTime,
		})
	}
	return workers
}

// reportRemoved tells of the nodes that were in the list before and are in it no more.
func (w *endpointWatch) reportRemoved(before map[string]endpoint) {
	for node := range before {
		if _, present := w.entries[node]; !present {
			w.workerChanged(node, foxlift.Removed)
		}
	}
}

// applyResponse takes an answer to a call, unless the watch has gone over to another
// discovery since: what the old one said last must not replace the new list.
func (w *endpointWatch) applyResponse(ctx context.Context, l *endpointsResponse) ([]foxlift.Worker, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if w.switched { // the last words of the discovery before: the list that is asked for next is another's
		w.cancel()
		workers := w.applyLocked(l)
		w.needComplete = true
		return workers, nil
	}
	w.urgentUntil, w.answered = time.Time{}, true
	return w.applyLocked(l), nil
}

// find returns a node's entry, if new work may go there now. A change counts as
// told once discovery has written it: where an answer has arrived that is not yet in the
// list (the process stood still, the core was busy, or the list is long), find waits for it,
// and with no end to that nothing is sent. It must not be called on the core's goroutine.
func (w *endpointWatch) find(worker string) (endpoint, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for startedAt := time.Now(); w.unreadLocked(); {
		if !time.Now().Before(w.unreadDeadlineLocked(startedAt)) {
			return endpoint{}, false
		}
		w.mu.Unlock()
		<-time.After(time.Millisecond)
		w.mu.Lock()
	}
	e, ok := w.entries[worker]
	return e, ok && e.state == foxlift.Live
}

// stateOf returns what the list says of a node, and since when if it is not live; one that it does not
// name is gone, nobody knows since when.
func (w *endpointWatch) stateOf(worker string) (state foxlift.WorkerState, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.entries[worker]; ok {
		return e.state, e.unavailableSince
	}
	return foxlift.Removed, time.Time{}
}

// unreadDeadlineLocked returns until when a claim that has waited since began waits for an answer to be
// in the list. While it is being read, the wait goes on: a long list takes its time.
func (w *endpointWatch) unreadDeadlineLocked(startedAt time.Time) time.Time {
	end, limit := later(startedAt, w.lastReadAt).Add(unreadWait), startedAt.Add(maxUnreadWait)
	if end.After(limit) {
		end = limit
	}
	return end
}

// unreadLocked reports whether something has arrived on the watch that is not in the list.
func (w *endpointWatch) unreadLocked() bool { return w.reading || w.conn != nil && hasInput(w.conn) }
