// Package foxlift decides, for one dispatcher of jobs, what to do with each
// request: queue it, send it to a worker, shed it or fail it.
//
// A Dispatcher is a deterministic state machine. It reads no clock, starts no goroutine and does no input or
// output: the host passes the current time and the events to Step and executes the actions that Step returns.
// All times and durations are in nanoseconds. The clock may start at any value that is not negative, and must
// not go back.
//
// This file and snapshot.go declare the public interface. The files listed under policy in
// deploy/balancer.toml contain all decisions, and dispatcher.go contains Step, which calls them. Decisions and
// state that do not need the whole Dispatcher are in the packages under internal/decision.
//
// The host must execute all actions, report exactly one outcome for each attempt, and deliver an EventTimer
// with the token of each timer when the timer is due. Violations of this contract do not cause a panic: New
// rejects an invalid Config with an error that names the field or its key in the settings; a time before the
// last one counts as the last one; and the Dispatcher ignores events about an unknown request, attempt or
// worker, a second outcome of an attempt, a request with an unknown class or an ID in use, a message that is
// invalid or from an unknown peer, and quotas that are not one for each tenant.
package foxlift

import (
	"errors"
	"fmt"
	"math"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
	"github.com/vatu-meals/foxlift/internal/decision/capacity"
)

// An Effect is the consequence of running a request more than once.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // the workers of Class.Scope drop repeats for Class.KeyTTL
	AtMostOnce                 // must never run twice
)

// A Scope is the group of workers that drops repeats of a Deduplicated request.
type Scope uint8

// The groups of workers that share their record of the requests that have run.
const (
	ScopeAll  Scope = iota // all workers
	ScopeZone              // the workers in the same zone
	ScopeCell              // the workers with the same Worker.Cell
)

// A Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective int64   // part of the latency objective that does not depend on the size of the job
	ObjectiveStretch float64 // the objective also includes this multiple of the running time expected of the job
	Deadline         int64   // how long a client waits in total
	Effect           Effect
	Scope            Scope   // for Deduplicated: the group of workers that drops repeats
	KeyTTL           int64   // for Deduplicated: how long repeats are dropped; 0: a job that may have run is not resent
	Kind             int     // required machine kind, or -1 for any
	Priority         int     // not used by the Dispatcher
	PriorityWeight   float64 // not used by the Dispatcher
	Stream           bool    // not used by the Dispatcher: EventStarted tells that an answer streams
}

// A Tenant is one of the parties that share the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all dispatchers
}

// A Band is a part of the fleet's throughput and the ratios by which tenants share it, as in Table 1 of the
// Triage paper.
type Band = admission.Band

// A Gauge identifies one value of a worker's load report.
type Gauge = capacity.Gauge

// The gauges that a load report may contain.
const (
	GaugeUnknown    = capacity.GaugeUnknown
	GaugeInFlight   = capacity.GaugeInFlight   // requests at the worker
	GaugeQueued     = capacity.GaugeQueued     // requests queued at the worker
	GaugeBusy       = capacity.GaugeBusy       // fraction of the worker's cores that is busy
	GaugeLatency    = capacity.GaugeLatency    // recent service time in milliseconds
	GaugeThroughput = capacity.GaugeThroughput // requests served per second
	GaugeErrors     = capacity.GaugeErrors     // errors per second
	GaugeFreeSlots  = capacity.GaugeFreeSlots
	GaugeFreeMemory = capacity.GaugeFreeMemory
)

// MaxGauges is the maximum number of values in a load report.
const MaxGauges = capacity.MaxGauges

// MaxDispatchers is the maximum number of dispatchers that may share a fleet. It bounds the state that each
// dispatcher keeps for every other one.
const MaxDispatchers = 1000

// Prices are the costs of operations, each as a fraction of the worth of a request.
type Prices struct {
	CrossZone float64 // an attempt at a worker in another zone
	Handshake float64 // opening a connection
	Fetch     float64 // a worker's fetch of the data that a job needs
}

// Config is the configuration of a Dispatcher. The zero value of an optional field means that the feature is
// absent or that the quantity is not limited.
type Config struct {
	Classes     []Class  // at least one
	Tenants     []Tenant // optional
	Bands       []Band   // optional; by default one band made of the tenants' quotas
	Zone        int      // the zone of this dispatcher
	Dispatchers int      // number of dispatchers that share the fleet; at least 1
	Index       int      // index of this dispatcher among them, from 0

	PollEndpoints   bool  // the endpoint list must be polled; it is not pushed
	MaxPollInterval int64 // longest time between polls; bounds the backoff after failures
	EndpointLease   int64 // maximum age of the endpoint list by which jobs are sent; 0: no maximum

	MayCancel      bool  // the host can cancel attempts
	MayHealthCheck bool  // the host can ask a worker for its load
	MayHedge       bool  // two attempts of a request may be in flight at once
	MayGossip      bool  // messages can be sent to peers
	MayRetryAfter  bool  // a shed request may carry the time after which the client should retry
	MaxRetryAfter  int64 // longest such time
	MaxAttempts    int   // maximum number of attempts of a request, with Request.PriorAttempts; 0 or less: no limit
	ConnIdle       int64 // idle time after which a connection counts as closed; 0: never
	JobsPerConn    int   // attempts that one connection carries at once; not used by the Dispatcher

	Gauges     []Gauge // values of a load report, in order; at most MaxGauges
	StartNotes bool    // workers report when a job starts

	AnswerGrace       int64   // not used by the Dispatcher; must not be negative
	SlowStartCapacity float64 // fraction of its capacity that a worker has when it starts
	SlotMemory        float64 // units of memory per slot of a worker; 0: unknown
	SlowStartDuration int64   // time from the start of a worker until it has its whole capacity
	OverloadMultiple  float64 // load, as a multiple of a worker's capacity in slow start, that overloads it
	OverloadWindow    int64   // time over which that load is measured
	Prices            Prices
}

// quotas returns the quotas of the tenants, in the order of c.Tenants.
func (c *Config) quotas() []float64 {
	q := make([]float64, len(c.Tenants))
	for i, t := range c.Tenants {
		q[i] = t.Quota
	}
	return q
}

// validate returns an error that names the first invalid field of c, or nil if it finds none.
func (c *Config) validate() error {
	if len(c.Classes) == 0 {
		return errors.New("foxlift: Classes is empty")
	}
	if c.Dispatchers < 1 {
		return fmt.Errorf("foxlift: Dispatchers is %d, want at least 1", c.Dispatchers)
	}
	if c.Dispatchers > MaxDispatchers {
		return fmt.Errorf("foxlift: Dispatchers is %d, want at most %d", c.Dispatchers, MaxDispatchers)
	}
	if c.Index < 0 || c.Index >= c.Dispatchers {
		return fmt.Errorf("foxlift: Index is %d, want at least 0 and less than Dispatchers (%d)", c.Index, c.Dispatchers)
	}
	if len(c.Gauges) > MaxGauges {
		return fmt.Errorf("foxlift: Gauges has %d values, want at most %d", len(c.Gauges), MaxGauges)
	}
	if err := c.checkClasses(); err != nil {
		return err
	}
	for i, t := range c.Tenants {
		if t.Quota < 0 || math.IsNaN(t.Quota) {
			return fmt.Errorf("foxlift: Tenants[%d].Quota is negative or not a number: %v", i, t.Quota)
		}
	}
	for i, b := range c.Bands {
		if len(b.Ratio) != len(c.Tenants) || b.Width < 0 {
			return fmt.Errorf("foxlift: Bands[%d] has %d ratios and width %v, "+
				"want %d ratios (one per tenant) and a width of at least 0",
				i, len(b.Ratio), b.Width, len(c.Tenants))
		}
	}
	if err := c.checkTimes(); err != nil {
		return err
	}
	return c.checkFinite()
}

// checkClasses returns an error that names the first invalid class, or nil.
func (c *Config) checkClasses() error {
	for i := range c.Classes {
		k := &c.Classes[i]
		switch {
		case k.LatencyObjective < 0 || k.Deadline < 0 || k.KeyTTL < 0 || k.ObjectiveStretch < 0:
			return fmt.Errorf("foxlift: Classes[%d] has a negative time: "+
				"LatencyObjective %d, Deadline %d, KeyTTL %d, ObjectiveStretch %v",
				i, k.LatencyObjective, k.Deadline, k.KeyTTL, k.ObjectiveStretch)
		case k.Effect > AtMostOnce:
			return fmt.Errorf("foxlift: Classes[%d].Effect is unknown: %d", i, k.Effect)
		case k.Scope > ScopeCell:
			return fmt.Errorf("foxlift: Classes[%d].Scope is unknown: %d", i, k.Scope)
		case k.Kind < -1:
			return fmt.Errorf("foxlift: Classes[%d].Kind is under -1: %d", i, k.Kind)
		}
	}
	return nil
}

// checkTimes returns an error that names the first negative time beside those of the classes, or nil.
func (c *Config) checkTimes() error {
	// The messages use the names of the settings' keys (mustAskIn, warmAfter), not those of the fields.
	for _, f := range []struct {
		name string
		time int64
	}{
		{"MustAskIn", c.MaxPollInterval},
		{"ListLease", c.EndpointLease},
		{"WarmAfter", c.SlowStartDuration},
		{"FallWindow", c.OverloadWindow},
		{"MaxRetryAfter", c.MaxRetryAfter},
		{"ConnIdle", c.ConnIdle},
		{"AnswerGrace", c.AnswerGrace},
	} {
		if f.time < 0 {
			return fmt.Errorf("foxlift: %s is negative: %d", f.name, f.time)
		}
	}
	return nil
}

// A WorkerState is the state of a worker in the endpoint list.
type WorkerState uint8

// The states of a worker.
const (
	Live     WorkerState = iota // accepts jobs
	Draining                    // accepts no new jobs and finishes its current ones
	Removed                     // no longer in the endpoint list
)

// A Worker is an entry of the endpoint list.
type Worker struct {
	ID            string
	Zone          int // -1 if unknown
	Kind          int // -1 if unknown; a kind above those that the classes require counts as unknown
	Cell          int // for ScopeCell
	State         WorkerState
	StartedAt     int64   // time of its last start; 0 means long ago
	ExternalSlots float64 // slots of the jobs in flight there that the host sent without this dispatcher
}

// An EndpointUpdate is the kind of an EventEndpoints event.
type EndpointUpdate uint8

// The kinds of endpoint updates.
const (
	EndpointsDelta      EndpointUpdate = iota // Workers has only the changed entries
	EndpointsComplete                         // Workers is the complete list
	EndpointsCached                           // Workers is the complete list as recorded before a restart
	EndpointsPollFailed                       // a poll failed or the watch broke; no entries; see Event.PollFailure
	EndpointsConfirmed                        // discovery answered that the list is up to date; no entries
	DiscoveryChanged                          // another discovery must be polled from now on; no entries
	EndpointsInherited                        // the list is the predecessor's; no entries; see Event.EndpointsFreshFor
)

// A Request is a client's request for one job.
type Request struct {
	ID             uint64
	Class          int      // index into Config.Classes
	Tenant         int      // index into Config.Tenants, or -1
	Deadline       int64    // time at which the client stops waiting
	Key            uint64   // affinity key of the data that the job needs; 0 if none
	Size           int64    // estimated running time; 0 if there is no estimate
	Slots          float64  // slots that the job occupies; 0 or less counts as 1
	Memory         float64  // units of memory that the job needs; 0: not limited by memory
	ClientRetry    bool     // the client reports an earlier try; not used by the Dispatcher
	Waited         int64    // time that the request has already waited at another dispatcher of the host
	Unread         int64    // time for which the host had not read the request; it counts towards Deadline alone
	PriorAttempts  int      // attempts by another dispatcher: none may have run unless the class is Idempotent
	AllowedWorkers []string // IDs of the only workers that may run the job; nil: any; empty: none
}

// A Code is the outcome of an attempt or of a health check.
type Code uint8

// The outcomes of an attempt.
const (
	Served           Code = iota // the worker answered
	WorkerError                  // the worker failed
	Saturated                    // the worker rejected the job without running it
	DeadlineExceeded             // no answer in time
	Unreachable                  // no connection could be opened
	Reset                        // the connection broke
	Cancelled                    // cancelled by an ActionCancel
	NotSent                      // the host did not send the job
	InvalidRequest               // the worker reports that the request is invalid; the job may still have run
)

// NeverRan reports whether the code proves that the job did not run.
func (c Code) NeverRan() bool { return c == Saturated || c == Unreachable || c == NotSent }

// An EventKind is the kind of an Event. It determines which fields of the Event are set.
type EventKind uint8

// The kinds of events, with the fields that are set.
const (
	EventRequest            EventKind = iota // Request
	EventEndpoints                           // EndpointUpdate, PollFailure, EndpointsFreshFor, Workers
	EventStarted                             // ID, Attempt, Stream: the job runs, or with Stream its stream flows
	EventProgress                            // ID, Attempt: the job makes progress
	EventOutcome                             // ID, Attempt, Worker, Code, Took, Ended, HasLoad, Load
	EventClientDisconnected                  // ID
	EventTimer                               // Token
	EventHealthChecked                       // Worker, Code, Took, HasLoad, Load
	EventMessage                             // From, Data
	EventQuotas                              // Quotas: the quotas of the tenants have changed
)

// An Event is an input of Dispatcher.Step.
type Event struct {
	Kind           EventKind
	Request        Request
	ID             uint64
	Attempt        int // index of the attempt among those of this dispatcher, from 0
	Worker         string
	Code           Code
	Took           int64              // time from send to outcome or to the answer of a health check
	Ended          bool               // the request has its final answer
	Stream         bool               // the job streams its answer
	HasLoad        bool               // Load is set
	Load           [MaxGauges]float64 // in the order of Config.Gauges
	Token          uint64
	EndpointUpdate EndpointUpdate
	PollFailure    PollFailure // set if EndpointUpdate is EndpointsPollFailed
	// EndpointsFreshFor is the time in nanoseconds until the predecessor's Dispatcher.EndpointsExpireAt, if
	// EndpointUpdate is EndpointsInherited.
	EndpointsFreshFor int64
	Workers           []Worker
	From              int // index of the peer that sent the message
	Data              []byte
	Quotas            []float64 // one for each tenant
}

// An ActionKind is the kind of an Action. It determines which fields of the Action are set.
type ActionKind uint8

// The kinds of actions, with the fields that are set.
const (
	ActionSend           ActionKind = iota // ID, Worker, Timeout; the host numbers a request's attempts from 0
	ActionShed                             // ID, RetryAfter: a final answer; the client may safely retry
	ActionFail                             // ID: a final answer; the job may have run, so a retry may not be safe
	ActionCancel                           // ID, Attempt
	ActionTimer                            // At, Token
	ActionHealthCheck                      // Worker
	ActionClose                            // Worker: close the idle connections to it; not returned at present
	ActionMessage                          // To (-1 for all peers), Data
	ActionWatchEndpoints                   // poll for changes of the endpoint list from now on
)

// An Action is an instruction to the host, returned by Dispatcher.Step.
type Action struct {
	Kind       ActionKind
	ID         uint64
	Worker     string
	Attempt    int
	Timeout    int64 // 0 means until the client's deadline
	RetryAfter int64 // time after which the client should retry; 0 means no advice
	At         int64 // time at which the timer is due
	Token      uint64
	To         int // index of the receiving peer, or -1 for all
	Data       []byte
}
