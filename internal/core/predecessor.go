package core

import (
	"slices"
	"time"

	"github.com/vatu-meals/foxlift"
)

// maxIDWait is how long a job waits for the ids of the predecessor's jobs. The predecessor then hangs, or cannot save
// its state.
const maxIDWait = time.Second

// A predecessorIDs holds back the jobs that must not run twice until it is known that the predecessor, which serves
// clients beside this process in an upgrade, did not accept a job with the same id before.
type predecessorIDs struct {
	awaited bool // a predecessor runs
	held    []heldJob
}

// A heldJob is an open job that is not admitted yet.
type heldJob struct {
	job  *job
	from int64 // time from which it is held, in Unix nanoseconds
}

// AwaitPredecessorIDs makes jobs that must not run twice wait for SetPredecessorIDs, until ForgetPredecessor is called.
func (c *Core) AwaitPredecessorIDs() { c.loop.post(predecessorFound{}) }

type predecessorFound struct{}

func (predecessorFound) apply(c *Core) { c.predecessor.awaited = true }

// SetPredecessorIDs reports the ids of open or recent jobs that must not run twice, from a state that the predecessor
// took at a time in Unix nanoseconds. Jobs held back since before that are admitted, or rejected if their id is among
// them.
func (c *Core) SetPredecessorIDs(takenAt int64, ids []string) {
	c.loop.post(predecessorIDsRead{takenAt, ids})
}

type predecessorIDsRead struct {
	takenAt int64
	ids     []string
}

func (e predecessorIDsRead) apply(c *Core) {
	for _, id := range e.ids {
		c.rememberID(id, true)
		c.idsInUse.Store(id, struct{}{})
		c.rejectHeld(id)
	}
	c.admitHeld(func(h heldJob) bool { return h.from < e.takenAt })
}

// ForgetPredecessor reports that the predecessor has exited: no job waits for its ids any longer.
func (c *Core) ForgetPredecessor() { c.loop.post(predecessorExited{}) }

type predecessorExited struct{}

func (predecessorExited) apply(c *Core) {
	c.predecessor.awaited = false
	c.admitHeld(func(heldJob) bool { return true })
}

// A heldTooLong event means that maxIDWait has passed for at least one held job.
type heldTooLong struct{}

func (heldTooLong) apply(c *Core) {
	now := c.clock.Now()
	c.admitHeld(func(h heldJob) bool { return now-h.from >= int64(maxIDWait) })
}

// mustAwaitIDs reports whether a job must be held back: it must not run twice, and a predecessor runs.
func (c *Core) mustAwaitIDs(j *job) bool {
	return c.predecessor.awaited && c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent
}

// hold holds back an open job.
func (c *Core) hold(j *job) {
	c.counters.Add("jobs.held")
	c.predecessor.held = append(c.predecessor.held, heldJob{j, c.clock.Now()})
	c.loop.postAfter(maxIDWait, heldTooLong{})
}

// admitHeld admits the held jobs for which a condition holds. Jobs that were answered meanwhile are dropped.
func (c *Core) admitHeld(condition func(h heldJob) bool) {
	held := c.predecessor.held
	c.predecessor.held = nil
	for _, h := range held {
		switch {
		case h.job.answered.Load():
		case condition(h):
			c.admit(h.job)
		default:
			c.predecessor.held = append(c.predecessor.held, h)
		}
	}
}

// rejectHeld rejects the held job with an id that the predecessor's job has, if there is one.
func (c *Core) rejectHeld(id string) {
	i := slices.IndexFunc(c.predecessor.held, func(h heldJob) bool { return h.job.ID == id && !h.job.answered.Load() })
	if i >= 0 {
		c.answer(c.predecessor.held[i].job, Answer{Verdict: Rejected, Reason: ReasonRepeatedID})
	}
}
