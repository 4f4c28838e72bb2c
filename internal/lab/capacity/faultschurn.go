package capacity

import "github.com/vatu-meals/foxlift/internal/standin"

// Most workers that join and that leave in one change.
const (
	maxJoining = 40
	maxLeaving = 20
)

// An endpointChange is how many entries have changed with a version of the endpoint list.
type endpointChange struct {
	version int64
	entries int
}

// recordChange records that the last version has changed so many entries.
func (t *faultsTrial) recordChange(entries int) {
	t.changes = append(t.changes, endpointChange{int64(t.Discovery.Version()), entries})
}

// changedSince returns how many entries have changed since the checkpoint.
func (t *faultsTrial) entriesChangedSinceCheckpoint() (entries int) {
	for _, c := range t.changes {
		if c.version > t.checkpointVersion {
			entries += c.entries
		}
	}
	return entries
}

// addWorkers adds workers to the endpoint list.
func (t *faultsTrial) addWorkers(count int) {
	announceHollowWorkers(t.Discovery, t.nextWorker, count)
	for range count {
		t.workers = append(t.workers, t.nextWorker)
		t.nextWorker++
	}
	t.recordChange(count)
}

// removeWorkers takes workers out of the endpoint list.
func (t *faultsTrial) removeWorkers(count int) {
	entries := make([]standin.Entry, count)
	for i := range entries {
		index := t.rng.IntN(len(t.workers))
		entries[i] = standin.Entry{Host: workerName(t.workers[index]), Health: "left"}
		t.workers[index] = t.workers[len(t.workers)-1]
		t.workers = t.workers[:len(t.workers)-1]
	}
	t.Discovery.Announce(entries...)
	t.recordChange(count)
}

// churnWorkers lets some workers join and some leave.
func (t *faultsTrial) churnWorkers() {
	t.addWorkers(1 + t.rng.IntN(maxJoining))
	t.removeWorkers(1 + t.rng.IntN(maxLeaving))
}
