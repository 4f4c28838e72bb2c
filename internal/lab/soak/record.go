package soak

import (
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
	links        map[int]map[string][]span // when its link to a node was faulty
	kills        map[int][]time.Time
	terminations map[int][]time.Time
	exits        int // bad ones
	disconnects  []disconnect
}

// A leave is a submitter that left before its answer.
type disconnect struct {
	id string
	at time.Time
}

func (r *record) unreachable(i int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitions == nil {
		r.partitions = map[int][]span{}
	}
	r.partitions[i] = append(r.partitions[i], span{from, to})
}

func (r *record) link(i int, node string, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links == nil {
		r.links = map[int]map[string][]span{}
	}
	if r.links[i] == nil {
		r.links[i] = map[string][]span{}
	}
	r.links[i][node] = append(r.links[i][node], span{from, to})
}

func (r *record) killed(i int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kills == nil {
		r.kills = map[int][]time.Time{}
	}
	r.kills[i] = append(r.kills[i], at)
}

func (r *record) terminated(i int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.terminations == nil {
		r.terminations = map[int][]time.Time{}
	}
	r.terminations[i] = append(r.terminations[i], at)
}

func (r *record) failedExit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exits++
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

func anyIn(times []time.Time, from, to time.Time) bool {
	for _, at := range times {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// linkFaulty reports whether a scheduler's link to a node was faulty at some moment between two times.
func (r *record) linkFaulty(i int, node string, from, to time.Time) bool {
	for _, s := range r.links[i][node] {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}
