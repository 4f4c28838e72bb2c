package soak

import (
	"slices"
	"sync"
	"time"
)

// A span is a time in which something was so.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool { return s.from.Before(to) && from.Before(s.to) }

// A record is what was done to the run, for the judge: what it does to a scheduler's links and process
// changes what can be asked of it.
type record struct {
	mu           sync.Mutex
	partitions   map[int][]span            // when a scheduler could not reach discovery
	links        map[int]map[string][]span // when its link to a worker was faulty
	kills        map[int][]time.Time
	terminations map[int][]time.Time
	failedExits  int
	disconnects  []disconnect
}

// A disconnect is a client that disconnected before its answer.
type disconnect struct {
	id string
	at time.Time
}

// newRecord makes an empty record.
func newRecord() *record {
	return &record{
		partitions:   map[int][]span{},
		links:        map[int]map[string][]span{},
		kills:        map[int][]time.Time{},
		terminations: map[int][]time.Time{},
	}
}

// unreachable records that a scheduler could not reach discovery.
func (r *record) unreachable(i int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[i] = append(r.partitions[i], span{from, to})
}

// link records that a scheduler's link to a worker was faulty.
func (r *record) link(i int, worker string, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[i] == nil {
		r.links[i] = map[string][]span{}
	}
	r.links[i][worker] = append(r.links[i][worker], span{from, to})
}

func (r *record) killed(i int, at time.Time) { r.add(r.kills, i, at) }

func (r *record) terminated(i int, at time.Time) { r.add(r.terminations, i, at) }

// add adds a time of a scheduler to one of the record's tables.
func (r *record) add(table map[int][]time.Time, i int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table[i] = append(table[i], at)
}

func (r *record) failedExit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedExits++
}

func (r *record) disconnected(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnects = append(r.disconnects, disconnect{id, at})
}

// killedSince reports whether a scheduler was killed after a time.
func (r *record) killedSince(i int, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return anyIn(r.kills[i], sent, time.Now())
}

// restarted reports whether a scheduler's process was killed or ended between two times.
func (r *record) restarted(i int, from, to time.Time) bool {
	return anyIn(r.kills[i], from, to) || anyIn(r.terminations[i], from, to)
}

// anyIn reports whether one of the times lies between two others.
func anyIn(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// anyOverlaps reports whether one of the spans has a moment between two times.
func anyOverlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.overlaps(from, to) })
}

// linkFaulty reports whether a scheduler's link to a worker was faulty at some moment between two times.
func (r *record) linkFaulty(i int, worker string, from, to time.Time) bool {
	return anyOverlaps(r.links[i][worker], from, to)
}
