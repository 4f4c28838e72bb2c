package core

import (
	"sync/atomic"
	"time"
)

// A Job is a client's request that the platform has read in full.
type Job struct {
	ID                string // given by the client; no two open jobs have the same
	Class             string
	Tenant            string
	ArrivedAt         int64         // on the core's clock
	Remaining         time.Duration // how long the client waits from then on
	Key               uint64        // the affinity key; 0 if it has none
	Slots             float64
	Memory            float64
	ClientRetry       bool // the client says that it tried before
	HasIdempotencyKey bool // it carries the key by which workers know a repeat
	Payload           any  // for Workers; the core does not look at it
	Client            Client

	answered       atomic.Bool
	disconnectedAt atomic.Pointer[time.Time] // when its client was seen to have left
	reservation    reservation               // of a place in its cell's admission bound, where there are cells
}

// Finished reports whether nothing more is to be begun for the job: it is answered, or its client has
// gone, which the core need not have learned yet. Any goroutine may call it.
func (j *Job) Finished() bool {
	return j.answered.Load() || j.Client != nil && j.Client.Disconnected()
}

// MarkDisconnected records that the job's client has left. Any goroutine may call it.
func (j *Job) MarkDisconnected() {
	now := time.Now()
	j.disconnectedAt.CompareAndSwap(nil, &now)
}

// SinceDisconnect returns how long ago the job's client was seen to have left; 0 if it was not.
func (j *Job) SinceDisconnect() time.Duration {
	if at := j.disconnectedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// A Client waits for a job's answer.
type Client interface {
	// Answer brings the one answer. It is called on the core's goroutine, or on that of Accept's
	// caller, and must not block.
	Answer(Answer)
	// Disconnected reports whether the client has gone away, as far as can be told at once.
	Disconnected() bool
}

// A Verdict is the kind of an answer.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota // with a result
	Shed                    // it never ran, or may run again: a retry is harmless
	Failed                  // it may have run: no promise is made
	Rejected                // not valid, never accepted
)

// A Reason says why a job was rejected or failed, in the words that its client gets.
type Reason string

// The reasons of rejected jobs, and those of failed ones.
const (
	ReasonUnknownClass     Reason = "unknown class"
	ReasonUnknownTenant    Reason = "unknown tenant"
	ReasonNoIdempotencyKey Reason = "no key, which its class needs"
	ReasonRepeatedID       Reason = "repeated id"

	ReasonAbandoned          Reason = "given up"
	ReasonOverdue            Reason = "overdue"
	ReasonClientDisconnected Reason = "the submitter left"
)

// An Answer is the final word on a job.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // if Served
	RetryAfter time.Duration // if Shed; 0 means no advice
	Reason     Reason        // if Rejected or Failed
}

const (
	noTenant     = -1 // index of the tenant where the settings have none
	unknownGroup = -1 // zone or cell of a worker that the endpoint list does not have
)

// A job is a Job in the core's table. It stays there until it is answered and its last attempt has
// ended.
type job struct {
	*Job
	number       uint64
	class        int // index into the settings' classes
	tenant       int // index into the settings' tenants, or noTenant
	deadline     int64
	attempts     []*attempt // in the order they were made
	inFlight     int        // attempts that have not ended
	overdueTimer *time.Timer

	cell           *cell    // whose dispatcher has it
	priorAttempts  int      // attempts made before that dispatcher got it
	leaving        bool     // that dispatcher has been told that it goes
	spilledFrom    *cell    // the cell that could not take it; nil if it is in its own
	allowedWorkers []string // where the plan bounds its affinity key to a few; else nil
	countedKey     cellKey  // as it is counted in cellSet.jobsByKey
}

// remaining returns how long the job's client still waits.
func (j *job) remaining(now int64) time.Duration { return time.Duration(j.deadline - now) }

// slots returns how many slots the job takes; 1 where that is not known.
func (j *job) slots() float64 {
	if j.Slots <= 0 {
		return 1
	}
	return j.Slots
}

// mayHaveRun returns the first attempt of the job that may have run or may yet; nil if none.
func (j *job) firstPossibleRun() *attempt {
	for _, a := range j.attempts {
		if !a.done || !a.code.NeverRan() {
			return a
		}
	}
	return nil
}

// clearSpill counts the job no longer among those that its own cell has in another one.
func (j *job) clearSpill() {
	if j.spilledFrom != nil {
		j.spilledFrom.spilled--
		j.spilledFrom = nil
	}
}
