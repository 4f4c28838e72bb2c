package capacity

import (
	"github.com/vatu-meals/foxlift/internal/standin"
)

// An endpointChange is how many entries have changed with a version.
type endpointChange struct {
	version int64
	entries int
}

// recordChange notes that the last version has changed so many entries.
func (t *faultsTrial) recordChange(entries int) {
	t.changes = append(t.changes, endpointChange{int64(t.Discovery.Version()), entries})
}

// changedSince returns how many entries have changed since the list that is kept.
func (t *faultsTrial) changedSince() (entries int) {
	for _, c := range t.changes {
		if c.version > t.checkpointVersion {
			entries += c.entries
		}
	}
	return entries
}

// join adds workers to the list.
func (t *faultsTrial) addWorkers(count int) {
	announceHollowWorkers(t.Discovery, t.nextWorker, count)
	for range count {
		t.workers = append(t.workers, t.nextWorker)
		t.nextWorker++
	}
	t.recordChange(count)
}

// leave takes workers out of the list.
func (t *faultsTrial) removeWorkers(count int) {
	entries := make([]standin.Entry, count)
	for i := range entries {
		at := t.rng.IntN(len(t.workers))
		entries[i] = standin.Entry{Host: workerName(t.workers[at]), Health: "left"}
		t.workers[at] = t.workers[len(t.workers)-1]
		t.workers = t.workers[:len(t.workers)-1]
	}
	t.Discovery.Announce(entries...)
	t.recordChange(count)
}

// change lets some workers join and some leave.
func (t *faultsTrial) churnWorkers() {
	t.addWorkers(1 + t.rng.IntN(40))
	t.removeWorkers(1 + t.rng.IntN(20))
}
