package core

import (
	"sync/atomic"
	"time"
)

// A Job is a client's request for one job, which the platform has read completely.
type Job struct {
	ID                string // chosen by the client; unique among open and recently answered jobs
	Class             string
	Tenant            string
	ArrivedAt         int64         // time of arrival in Unix nanoseconds, on the core's clock
	Unread            time.Duration // time from ArrivedAt until the platform read it
	Remaining         time.Duration // how long the client waits from ArrivedAt on; bounded by the class's deadline
	Key               uint64        // affinity key; 0 if the job has none
	Slots             float64       // slots that the job occupies; 0 or less counts as 1
	Memory            float64       // units of memory that the job needs
	ClientRetry       bool          // the client reports an earlier try
	HasIdempotencyKey bool          // the job carries the key by which workers detect repeats
	NoMemory          bool          // the platform has no memory for the job, which is shed if it is valid
	Payload           any           // data for Workers, not used by the core; nil once the job is answered
	Client            Client

	answered       atomic.Bool
	disconnectedAt atomic.Pointer[time.Time] // when the disconnection of its client was detected; nil if connected
	reservation    reservation               // capacity in the admission bound of its cell, if there are cells
}

// Finished reports whether no further work may be started for the job, because it is answered or its client has
// disconnected. The event loop may not have handled the disconnection yet. Any goroutine may call it.
func (j *Job) Finished() bool {
	return j.answered.Load() || j.Client != nil && j.Client.Disconnected()
}

// MarkDisconnected records the time at which the job's client was first found to be disconnected. Any goroutine
// may call it.
func (j *Job) MarkDisconnected() {
	now := time.Now()
	j.disconnectedAt.CompareAndSwap(nil, &now)
}

// SinceDisconnect returns the time since MarkDisconnected was first called; 0 if it was not. Any goroutine may
// call it.
func (j *Job) SinceDisconnect() time.Duration {
	if at := j.disconnectedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// A Client receives the answer of a job.
type Client interface {
	// Answer is called exactly once, with the final answer of the job; not at all if the core stops before. It
	// is called on the event loop's goroutine or on that of the caller of Accept, and must not block.
	Answer(Answer)
	// Disconnected reports whether the client is known to have disconnected. It must not block.
	Disconnected() bool
}

// A Verdict is the kind of an answer.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota // the job ran, and the answer has its result
	Shed                    // the job did not run, or its class allows a repeat: a retry is safe
	Failed                  // the job may have run: a retry may not be safe
	Rejected                // the job is invalid and was never accepted
)

// A Reason is the reason for which a job was rejected or failed. Its text is sent to the client.
type Reason string

// The reasons for which a job is rejected, then those for which it fails.
const (
	ReasonUnknownClass     Reason = "unknown class"
	ReasonUnknownTenant    Reason = "unknown tenant"
	ReasonNoIdempotencyKey Reason = "no key, which its class needs"
	ReasonRepeatedID       Reason = "repeated id"

	ReasonAbandoned          Reason = "given up"
	ReasonOverdue            Reason = "overdue"
	ReasonClientDisconnected Reason = "the submitter left"
)

// An Answer is the final answer to a job.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // if Served
	RetryAfter time.Duration // if Shed: time after which the client should retry; 0 means no advice
	Reason     Reason        // if Rejected or Failed
}

const (
	noTenant     = -1 // tenant index of a job if the settings have no tenants, or do not have its tenant
	unknownGroup = -1 // zone or cell of a worker that is not in the endpoint list
)

// A job is a Job in the job table, where it stays until it is answered and its last attempt has ended.
type job struct {
	*Job
	number       uint64     // ID of the job at the dispatchers
	class        int        // index into the settings' classes
	tenant       int        // index into the settings' tenants, or noTenant
	deadline     int64      // when the client stops waiting, in Unix nanoseconds on the core's clock
	attempts     []*attempt // in the order in which they were created
	inFlight     int        // number of attempts that have not ended
	overdueTimer *loopTimer

	cell           *cell    // cell that the job is assigned to
	priorAttempts  int      // number of attempts created before the job was last assigned to a cell
	leaving        bool     // the job leaves the cell in the next step of the cell's dispatcher
	spilledFrom    *cell    // owner cell, if the job has spilled into another cell; else nil
	allowedWorkers []string // IDs of the only workers for its affinity key, if the plan limits them; nil: any
	countedKey     cellKey  // entry of cellSet.jobsByKey that counts the job; zero if none does
}

// remaining returns how long the job's client still waits; it is negative after the deadline.
func (j *job) remaining(now int64) time.Duration { return time.Duration(j.deadline - now) }

// slots returns the number of slots that the job occupies; 1 if Slots is 0 or less.
func (j *job) slots() float64 {
	if j.Slots <= 0 {
		return 1
	}
	return j.Slots
}

// firstPossibleRun returns the first attempt of the job that may have run or may still run; nil if none.
func (j *job) firstPossibleRun() *attempt {
	for _, a := range j.attempts {
		if !a.done || !a.code.NeverRan() {
			return a
		}
	}
	return nil
}

// clearSpill removes the job from the count of jobs that have spilled from its owner cell. It does nothing if
// the job has not spilled.
func (j *job) clearSpill() {
	if j.spilledFrom != nil {
		j.spilledFrom.spilled--
		j.spilledFrom = nil
	}
}
