package core

import (
	"slices"
	"time"
)

// Limits of the memory that recent ids take.
const (
	maxRecentIDBytes      = 3 << 19 // at any memory limit; keeps the state for a successor below its maximum size
	recentIDMemoryDivisor = 32      // recent ids may take 1/32 of the memory limit
	recentIDOverhead      = 160     // bytes of an entry in the queue and the maps, without the text of the id
)

// A recentID is the id of a job that was answered a short time ago.
type recentID struct {
	id         string
	answeredAt int64 // in Unix nanoseconds on the core's clock
}

// size returns the memory that the id takes, in bytes.
func (r recentID) size() int { return len(r.id) + recentIDOverhead }

// An idQueue holds ids in the order in which their jobs were answered.
type idQueue struct {
	ids   []recentID
	first int // index of the oldest id
	bytes int // memory that the ids take
}

// len returns the number of ids.
func (q *idQueue) len() int { return len(q.ids) - q.first }

// all returns the ids, the oldest first. The caller must not change them.
func (q *idQueue) all() []recentID { return q.ids[q.first:] }

// push adds an id that is younger than all others.
func (q *idQueue) push(r recentID) {
	q.ids = append(q.ids, r)
	q.bytes += r.size()
}

// pop removes the oldest id and returns it; the queue must not be empty. It releases the memory of removed ids once
// they are half of the slice.
func (q *idQueue) pop() string {
	oldest := q.ids[q.first]
	q.ids[q.first] = recentID{}
	q.first++
	q.bytes -= oldest.size()
	if 2*q.first >= len(q.ids) {
		q.ids, q.first = slices.Clone(q.ids[q.first:]), 0
	}
	return oldest.id
}

// recentIDs holds the ids of jobs that were answered or restored within the retention time. Ids of jobs that may run
// twice are dropped earlier if all ids together would take more than maxBytes.
type recentIDs struct {
	retention time.Duration // longest deadline of any class
	maxBytes  int           // of memory that all ids take
	known     map[string]struct{}
	runOnce   idQueue // ids of jobs that must not run twice
	others    idQueue
}

func newRecentIDs(retention time.Duration) recentIDs {
	return recentIDs{retention: retention, maxBytes: maxRecentIDBytes, known: map[string]struct{}{}}
}

// has reports whether an id is among the recent ones.
func (r *recentIDs) has(id string) bool {
	_, known := r.known[id]
	return known
}

// isFull reports whether the ids of jobs that must not run twice take all of the memory, so that none may be dropped.
func (r *recentIDs) isFull() bool { return r.runOnce.bytes >= r.maxBytes }

// add adds the id of a job that is answered now, and returns the ids that are dropped for it.
func (r *recentIDs) add(id string, mustNotRunTwice bool, now int64) (dropped []string) {
	if r.has(id) {
		return nil
	}
	r.known[id] = struct{}{}
	queue := &r.others
	if mustNotRunTwice {
		queue = &r.runOnce
	}
	queue.push(recentID{id, now})
	for r.runOnce.bytes+r.others.bytes > r.maxBytes && r.others.len() > 0 {
		dropped = append(dropped, r.remove(&r.others))
	}
	return dropped
}

// remove removes the oldest id of a queue and returns it.
func (r *recentIDs) remove(queue *idQueue) string {
	id := queue.pop()
	delete(r.known, id)
	return id
}

// expire removes the ids whose retention time has passed and returns them.
func (r *recentIDs) expire(now int64) (expired []string) {
	for _, queue := range []*idQueue{&r.runOnce, &r.others} {
		for queue.len() > 0 && now-queue.ids[queue.first].answeredAt >= int64(r.retention) {
			expired = append(expired, r.remove(queue))
		}
	}
	return expired
}

// nextExpiry returns the time at which the next id expires, in Unix nanoseconds; false if there are no ids.
func (r *recentIDs) nextExpiry() (at int64, ok bool) {
	for _, queue := range []*idQueue{&r.runOnce, &r.others} {
		if queue.len() == 0 {
			continue
		}
		if expiry := queue.ids[queue.first].answeredAt + int64(r.retention); !ok || expiry < at {
			at, ok = expiry, true
		}
	}
	return at, ok
}

// rememberID keeps the id of an answered job for the retention time. During that time a job with the same id is
// rejected: a client that sends the same job again, instead of a retry with a new id, would have it run twice.
func (c *Core) rememberID(id string, mustNotRunTwice bool) {
	c.forgetIDs(c.jobs.recent.add(id, mustNotRunTwice, c.clock.Now()))
	c.scheduleIDExpiry()
}

// forgetIDs makes ids usable again that recentIDs has dropped.
func (c *Core) forgetIDs(ids []string) {
	for _, id := range ids {
		c.idsInUse.Delete(id)
	}
}

// scheduleIDExpiry starts the timer for the next id that expires, unless the timer runs already.
func (c *Core) scheduleIDExpiry() {
	if c.jobs.expiryScheduled {
		return
	}
	if at, ok := c.jobs.recent.nextExpiry(); ok {
		c.jobs.expiryScheduled = true
		c.loop.postAfter(time.Duration(at-c.clock.Now()), idsExpired{})
	}
}

// An idsExpired event means that the retention time of at least one recent id has passed.
type idsExpired struct{}

func (idsExpired) apply(c *Core) {
	c.jobs.expiryScheduled = false
	c.forgetIDs(c.jobs.recent.expire(c.clock.Now()))
	c.scheduleIDExpiry()
}

// SetMemoryLimit sets the memory that the process may use, in bytes. It bounds the memory that recent ids take.
func (c *Core) SetMemoryLimit(bytes int64) { c.loop.post(memoryLimitChanged{bytes}) }

type memoryLimitChanged struct{ bytes int64 }

func (e memoryLimitChanged) apply(c *Core) {
	c.jobs.recent.maxBytes = min(maxRecentIDBytes, int(e.bytes/recentIDMemoryDivisor))
}
