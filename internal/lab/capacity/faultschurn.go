package capacity

import "github.com/vatu-meals/foxlift/internal/standin"

// Bounds on the workers that join and leave in one call of churnWorkers.
const (
	maxJoining = 40
	maxLeaving = 20
)

// An endpointChange is the number of entries that a version of the endpoint list has changed.
type endpointChange struct {
	version int64
	entries int
}

// recordChange records the number of entries that the current version has changed.
func (t *faultsTrial) recordChange(entries int) {
	t.changes = append(t.changes, endpointChange{int64(t.Discovery.Version()), entries})
}

// entriesChangedSinceCheckpoint returns the number of entries that have changed since the version of the checkpoint.
func (t *faultsTrial) entriesChangedSinceCheckpoint() (entries int) {
	for _, c := range t.changes {
		if c.version > t.checkpointVersion {
			entries += c.entries
		}
	}
	return entries
}

// addWorkers adds count new workers to the endpoint list.
func (t *faultsTrial) addWorkers(count int) {
	announceHollowWorkers(t.Discovery, t.nextWorker, count)
	for range count {
		t.workers = append(t.workers, t.nextWorker)
		t.nextWorker++
	}
	t.recordChange(count)
}

// removeWorkers removes count random workers from the endpoint list.
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

// churnWorkers adds some workers to the endpoint list and removes some, at random.
func (t *faultsTrial) churnWorkers() {
	t.addWorkers(1 + t.rng.IntN(maxJoining))
	t.removeWorkers(1 + t.rng.IntN(maxLeaving))
}
