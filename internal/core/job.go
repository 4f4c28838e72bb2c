package core

import (
	"sync/atomic"
	"time"

	"github.com/vatu-meals/foxlift"
)

// A Job is a request that a front has read in full.
type Job struct {
	ID                string // given by the submitter; no two open jobs have the same
	Class             string
	Tenant            string
	ArrivedAt         int64         // on the core's clock
	Remaining         time.Duration // how long the submitter waits from then on
	Key               uint64        // what it is about; 0 if nothing
	Slots             float64
	Memory            float64
	ClientRetry       bool // the submitter says that it tried before
	HasIdempotencyKey bool // it carries the key by which nodes know a repeat
	Payload           any  // for Nodes; the core does not look at it
	Client            Client

	answered       atomic.Bool
	disconnectedAt atomic.Pointer[time.Time] // when its submitter was seen to have left
	reservation    reservation               // in a gate, where there are cells
}

// Over reports whether nothing more is to be begun for the job: it is answered, or its
// submitter has gone, which the core need not have heard yet. Any goroutine may ask.
func (j *Job) Finished() bool {
	return j.answered.Load() || j.Client != nil && j.Client.Disconnected()
}

// MarkDisconnected notes that the job's submitter has left. Any goroutine may call it.
func (j *Job) MarkDisconnected() {
	now := time.Now()
	j.disconnectedAt.CompareAndSwap(nil, &now)
}

// SinceDisconnect returns how long ago the job's submitter was seen to have left; 0 if it was not.
func (j *Job) SinceDisconnect() time.Duration {
	if at := j.disconnectedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// A Client waits for a job's answer.
type Client interface {
	// Answer brings the one answer. It is called on the core's goroutine and
	// must not block.
	Answer(Answer)
	// Disconnected reports whether the client has gone away, as far as can be told at once.
	Disconnected() bool
}

// A Verdict is the kind of an answer.
type Verdict uint8

const (
	Served   Verdict = iota
	Shed             // another try is harmless
	Failed           // no promise is made
	Rejected         // bad input, never taken: see Reason
)

// An Answer is the final word on a job.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // if Served
	RetryAfter time.Duration // if Shed; 0 means no advice
	Reason     string        // if Rejected or Failed
}

// A job is a Job in the core's table. It stays there until it is answered and
// its last claim has ended.
type job struct {
	*Job
	number       uint64
	class        int // index into the module's classes
	tenant       int // index into the module's tenants, or -1
	deadline     int64
	attempts     []*attempt // in the order they were made
	inFlight     int        // claims that have not ended
	overdueTimer *time.Timer

	cell           *cell // whose module decides on it
	priorAttempts  int   // claims made before that module got it
	leaving        bool  // that module has been told that it goes
	spilledFrom    *cell // the cell that could not take it; nil if it is in its own
	allowedWorkers []string
	heldKey        cellKey // as it is counted in Core.keys
}

// mayHaveRun returns the first claim of the job that may have run or may yet; nil if none.
func (j *job) mayHaveRun() *attempt {
	for _, cl := range j.attempts {
		if !cl.done || !cl.code.NeverRan() {
			return cl
		}
	}
	return nil
}

// A claim is one attempt at running a job on an execute node.
type attempt struct {
	job        *job
	cell       *cell // whose module made it
	number     int   // as that module counts
	worker     string
	zone       int // of the node; -1: unknown
	workerCell int // the node's cell in discovery's list; -1: unknown
	sentAt     int64
	done       bool
	code       foxlift.Code // if done
	timer      *time.Timer
	cancel     func()
}

// event returns an event about the claim for the module.
func (cl *attempt) event(kind foxlift.EventKind) foxlift.Event {
	return foxlift.Event{Kind: kind, ID: cl.job.number, Attempt: cl.number, Worker: cl.worker}
}
