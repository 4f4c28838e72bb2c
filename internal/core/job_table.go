package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/vatu-meals/foxlift"
)

// A jobTable holds the jobs that are open or have attempts in flight, and the ids that must not come
// again.
type jobTable struct {
	byNumber    map[uint64]*job // until they are answered and their last attempt has ended
	open        map[string]*job // accepted and not yet answered, by the client's id
	lastNumber  uint64
	recentIDs   map[string]bool // answered not long ago; true: of jobs that must not run twice
	idRetention time.Duration   // the longest deadline of any class
}

func newJobTable(classes []foxlift.Class) jobTable {
	t := jobTable{byNumber: map[uint64]*job{}, open: map[string]*job{}, recentIDs: map[string]bool{}}
	for i := range classes {
		t.idRetention = max(t.idRetention, time.Duration(classes[i].Deadline))
	}
	return t
}

// add enters an open job and numbers it.
func (t *jobTable) add(j *job) {
	t.lastNumber++
	j.number = t.lastNumber
	t.byNumber[j.number] = j
	t.open[j.ID] = j
}

// isKnown reports whether a job's id is in use or was answered not long ago.
func (t *jobTable) isKnown(id string) bool {
	_, answered := t.recentIDs[id]
	return answered || t.open[id] != nil
}

// openInOrder returns the open jobs in the order they came.
func (t *jobTable) openInOrder() []*job {
	open := make([]*job, 0, len(t.open))
	for _, j := range t.open {
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
	return open
}

// hasJobsOf reports whether a cell has a job in the table.
func (t *jobTable) hasJobsOf(cl *cell) bool {
	for _, j := range t.byNumber {
		if j.cell == cl {
			return true
		}
	}
	return false
}

// removeIfDone removes a job that is answered and has no attempt in flight.
func (t *jobTable) removeIfDone(j *job) {
	if j.answered.Load() && j.inFlight == 0 {
		delete(t.byNumber, j.number)
	}
}
