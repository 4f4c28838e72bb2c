package soak

import (
	"slices"
	"sync"
	"time"
)

// interval is the time from one moment to another.
type interval struct{ from, to time.Time }

func (s interval) overlaps(from, to time.Time) bool { return s.from.Before(to) && from.Before(s.to) }

// faultRecord records the injected faults. A fault of a scheduler's links or process changes what the
// rules require of that scheduler.
type faultRecord struct {
	mu           sync.Mutex
	partitions   map[int][]interval            // when each scheduler could not reach discovery
	links        map[int]map[string][]interval // when each scheduler's link to a worker was faulty, by worker
	kills        map[int][]time.Time
	terminations map[int][]time.Time
	failedExits  int
	disconnects  []disconnect
}

// disconnect is a client's disconnect before its job was answered.
type disconnect struct {
	id string
	at time.Time
}

// newFaultRecord returns an empty record.
func newFaultRecord() *faultRecord {
	return &faultRecord{
		partitions:   map[int][]interval{},
		links:        map[int]map[string][]interval{},
		kills:        map[int][]time.Time{},
		terminations: map[int][]time.Time{},
	}
}

// recordPartition records that a scheduler could not reach discovery.
func (r *faultRecord) recordPartition(scheduler int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[scheduler] = append(r.partitions[scheduler], interval{from, to})
}

// recordLinkFault records that a scheduler's link to a worker was faulty.
func (r *faultRecord) recordLinkFault(scheduler int, worker string, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[scheduler] == nil {
		r.links[scheduler] = map[string][]interval{}
	}
	r.links[scheduler][worker] = append(r.links[scheduler][worker], interval{from, to})
}

func (r *faultRecord) recordKill(scheduler int, at time.Time) { r.add(r.kills, scheduler, at) }

func (r *faultRecord) recordTermination(scheduler int, at time.Time) {
	r.add(r.terminations, scheduler, at)
}

// add appends a time to a scheduler's entry in one of the record's tables.
func (r *faultRecord) add(table map[int][]time.Time, scheduler int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table[scheduler] = append(table[scheduler], at)
}

func (r *faultRecord) recordFailedExit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedExits++
}

func (r *faultRecord) recordDisconnect(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnects = append(r.disconnects, disconnect{id, at})
}

// killedSince reports whether a scheduler was killed after the time sent.
func (r *faultRecord) killedSince(scheduler int, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return anyIn(r.kills[scheduler], sent, time.Now())
}

// restarted reports whether a scheduler's process was killed or terminated between two times.
func (r *faultRecord) restarted(scheduler int, from, to time.Time) bool {
	return anyIn(r.kills[scheduler], from, to) || anyIn(r.terminations[scheduler], from, to)
}

// anyIn reports whether one of the times is between from and to.
func anyIn(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// anyOverlaps reports whether one of the intervals overlaps the time between from and to.
func anyOverlaps(spans []interval, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s interval) bool { return s.overlaps(from, to) })
}

// linkFaulty reports whether a scheduler's link to a worker was faulty at some moment between two
// times.
func (r *faultRecord) linkFaulty(scheduler int, worker string, from, to time.Time) bool {
	return anyOverlaps(r.links[scheduler][worker], from, to)
}
