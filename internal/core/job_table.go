package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/vatu-meals/foxlift"
)

// A jobTable holds the jobs that are open or have attempts in flight, and the ids of recently answered jobs,
// which may not be used again yet.
type jobTable struct {
	byNumber   map[uint64]*job // all jobs of the table
	open       map[string]*job // jobs accepted and not yet answered, by the client's id
	lastNumber uint64          // number of the job added last

	recent          recentIDs
	expiryScheduled bool // an idsExpired event is due
}

func newJobTable(classes []foxlift.Class) jobTable {
	longestDeadline := int64(0)
	for i := range classes {
		longestDeadline = max(longestDeadline, classes[i].Deadline)
	}
	return jobTable{
		byNumber: map[uint64]*job{}, open: map[string]*job{}, recent: newRecentIDs(time.Duration(longestDeadline)),
	}
}

// add adds an open job and assigns its number.
func (t *jobTable) add(j *job) {
	t.lastNumber++
	j.number = t.lastNumber
	t.byNumber[j.number] = j
	t.open[j.ID] = j
}

// isKnown reports whether a job's id belongs to an open job or is among the recent ids.
func (t *jobTable) isKnown(id string) bool {
	return t.recent.has(id) || t.open[id] != nil
}

// openInOrder returns the open jobs in the order in which they were added.
func (t *jobTable) openInOrder() []*job {
	open := make([]*job, 0, len(t.open))
	for _, j := range t.open {
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
	return open
}

// hasJobsOf reports whether a job in the table is assigned to a cell.
func (t *jobTable) hasJobsOf(cl *cell) bool {
	for _, j := range t.byNumber {
		if j.cell == cl {
			return true
		}
	}
	return false
}

// removeIfDone removes the job if it is answered and has no attempt in flight.
func (t *jobTable) removeIfDone(j *job) {
	if j.answered.Load() && j.inFlight == 0 {
		delete(t.byNumber, j.number)
	}
}
