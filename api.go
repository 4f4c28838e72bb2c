// Package foxlift decides, for one dispatcher of jobs, what to do with each
// request: queue it, send it to a worker, shed it or fail it.
//
// A Dispatcher is a deterministic state machine. It reads no clock, starts no
// goroutine and does no input or output: the host passes it the time and what
// has happened, and carries out the actions that it returns. All times and
// durations are in nanoseconds; the clock may begin anywhere but only advances.
//
// This file and snapshot.go hold the whole interface; the files that deploy/balancer.toml lists under
// policy hold every decision, dispatcher.go the step that calls them. What can be decided or kept apart
// from the rest is in the packages under internal/decision.
//
// The host carries out all actions, reports one outcome for each attempt, and
// passes a timer's token when it is due. A host that breaks this gets no panic:
// New rejects a Config that cannot run and names the field, or its key in the settings; time that goes back
// counts as standing still; an event about an unknown request, attempt or worker,
// a second outcome, a request whose class is unknown or whose ID is in use, and a
// message from no peer are ignored.
package foxlift

import (
	"errors"
	"fmt"
	"math"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
	"github.com/vatu-meals/foxlift/internal/decision/capacity"
)

// An Effect says what happens if a request runs more than once.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // may be repeated freely
	Deduplicated               // a group of workers drops repeats for a while
	AtMostOnce                 // must never run twice
)

// A Scope is the group of workers that drops repeats of a Deduplicated request.
type Scope uint8

// The groups of workers that drop repeats together.
const (
	ScopeAll  Scope = iota // all workers
	ScopeZone              // the workers of one zone
	ScopeCell              // the workers of one Worker.Cell
)

// A Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective int64   // an answer within this, plus ObjectiveStretch times the job's own work, has full worth
	ObjectiveStretch float64 // see LatencyObjective
	Deadline         int64   // how long a client waits in all
	Effect           Effect
	Scope            Scope // for Deduplicated
	KeyTTL           int64 // for Deduplicated: how long repeats are dropped
	Kind             int   // the machine kind it needs, or -1 for any
	Priority         int
	PriorityWeight   float64
	Stream           bool
}

// A Tenant is one of the parties that share the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all dispatchers
}

// A Band is a slice of the fleet's throughput with the ratios by which tenants
// share it, as in Table 1 of the Triage paper.
type Band = admission.Band

// A Gauge is one value of a worker's load report.
type Gauge = capacity.Gauge

// The gauges that a load report may hold.
const (
	GaugeUnknown    = capacity.GaugeUnknown
	GaugeInFlight   = capacity.GaugeInFlight   // requests that the worker has
	GaugeQueued     = capacity.GaugeQueued     // requests waiting there
	GaugeBusy       = capacity.GaugeBusy       // fraction of its cores that is busy
	GaugeLatency    = capacity.GaugeLatency    // recent service time in milliseconds
	GaugeThroughput = capacity.GaugeThroughput // requests served a second
	GaugeErrors     = capacity.GaugeErrors     // errors a second
	GaugeFreeSlots  = capacity.GaugeFreeSlots
	GaugeFreeMemory = capacity.GaugeFreeMemory
)

// MaxGauges is the most values that a load report may hold.
const MaxGauges = capacity.MaxGauges

// MaxDispatchers is the most dispatchers that may share a fleet: each keeps a little of
// every other.
const MaxDispatchers = 1000

// Prices say what each unit costs, as a fraction of a request's worth.
type Prices struct {
	CrossZone float64 // an attempt that leaves the zone
	Handshake float64 // opening a connection
	Fetch     float64 // a worker's fetch of what a job needs
}

// Config is what a Dispatcher is told at its start. The zero value of an
// optional field means that the thing does not exist or is not limited.
type Config struct {
	Classes     []Class  // at least one
	Tenants     []Tenant // optional
	Bands       []Band   // optional; by default one band made of the tenants' quotas
	Zone        int      // the zone of this dispatcher
	Dispatchers int      // how many dispatchers share the fleet; at least 1
	Index       int      // which of them this is, from 0

	PollEndpoints   bool // the endpoint list comes only when polled for
	MaxPollInterval int64
	EndpointLease   int64 // how old the list may be where discovery is seen to answer others; 0: of any age

	MayCancel      bool
	MayHealthCheck bool
	MayHedge       bool // two attempts of a request may be out at once
	MayGossip      bool // peers can be sent messages
	MayRetryAfter  bool // clients can be told when to come back
	MaxRetryAfter  int64
	MaxAttempts    int // attempts for each request; 0 means no limit
	ConnIdle       int64
	JobsPerConn    int // attempts that one connection carries at once

	Gauges     []Gauge // what a load report holds, at most MaxGauges
	StartNotes bool    // workers say when a job starts

	AnswerGrace       int64
	SlowStartCapacity float64 // fraction of its capacity that a worker starts with
	SlotMemory        float64 // units of memory that a worker has for each slot; 0: not known
	SlowStartDuration int64   // slow start lasts this long
	OverloadMultiple  float64
	OverloadWindow    int64
	Prices            Prices
}

// quotas returns the tenants' quotas, in order.
func (c *Config) quotas() []float64 {
	q := make([]float64, len(c.Tenants))
	for i, t := range c.Tenants {
		q[i] = t.Quota
	}
	return q
}

// check reports the first field that makes c impossible to run.
func (c *Config) validate() error {
	if len(c.Classes) == 0 {
		return errors.New("foxlift: Classes is empty")
	}
	if c.Dispatchers < 1 {
		return errors.New("foxlift: Dispatchers is under 1")
	}
	if c.Dispatchers > MaxDispatchers {
		return errors.New("foxlift: Dispatchers is over MaxDispatchers")
	}
	if c.Index < 0 || c.Index >= c.Dispatchers {
		return errors.New("foxlift: Index is not under Dispatchers")
	}
	if len(c.Gauges) > MaxGauges {
		return errors.New("foxlift: Gauges has too many values")
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		switch {
		case k.LatencyObjective < 0 || k.Deadline < 0 || k.KeyTTL < 0 || k.ObjectiveStretch < 0:
			return fmt.Errorf("foxlift: Classes[%d] has a negative time", i)
		case k.Effect > AtMostOnce:
			return fmt.Errorf("foxlift: Classes[%d].Effect is unknown", i)
		case k.Scope > ScopeCell:
			return fmt.Errorf("foxlift: Classes[%d].Scope is unknown", i)
		case k.Kind < -1:
			return fmt.Errorf("foxlift: Classes[%d].Kind is under -1", i)
		}
	}
	for i, t := range c.Tenants {
		if t.Quota < 0 || math.IsNaN(t.Quota) {
			return fmt.Errorf("foxlift: Tenants[%d].Quota is negative", i)
		}
	}
	for i, b := range c.Bands {
		if len(b.Ratio) != len(c.Tenants) || b.Width < 0 {
			return fmt.Errorf("foxlift: Bands[%d] does not fit Tenants", i)
		}
	}
	// The messages keep the names that the settings' keys have (mustAskIn, warmAfter).
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
			return fmt.Errorf("foxlift: %s is negative", f.name)
		}
	}
	return nil
}

// A WorkerState is what the endpoint list says of a worker.
type WorkerState uint8

// The states of a worker.
const (
	Live     WorkerState = iota // may get jobs
	Draining                    // gets none, and finishes those that it has
	Removed                     // is not in the list any more
)

// A Worker is an entry of the endpoint list.
type Worker struct {
	ID            string
	Zone          int // -1 if unknown
	Kind          int // -1 if unknown
	Cell          int
	State         WorkerState
	StartedAt     int64   // when it last started; 0 means long ago
	ExternalSlots float64 // slots of jobs there that the host sent past this dispatcher and that are still in flight
}

// An EndpointUpdate says how a list event is to be read.
type EndpointUpdate uint8

// The kinds of list events.
const (
	EndpointsDelta      EndpointUpdate = iota // only changed entries
	EndpointsComplete                         // the complete list
	EndpointsCached                           // the complete list as last known before a restart
	EndpointsPollFailed                       // a poll failed or the watch broke; no entries; see Event.PollFailure
	EndpointsConfirmed                        // discovery has answered: the list is up to date; no entries
	DiscoveryChanged                          // another discovery is to be polled; no entries
)

// A Request is a job that a client asks for.
type Request struct {
	ID             uint64
	Class          int // index into Config.Classes
	Tenant         int // index into Config.Tenants, or -1
	Deadline       int64
	Key            uint64  // what the job is about; 0 if nothing
	Size           int64   // a guess of its work; 0 if there is none
	Slots          float64 // slots it needs; 0 counts as 1
	Memory         float64
	ClientRetry    bool     // the client says that it tried before
	Waited         int64    // how long it has waited with another dispatcher of the host
	PriorAttempts  int      // attempts that another made: none may have run, unless the class is Idempotent
	AllowedWorkers []string // the only workers that it may go to; nil: any
}

// A Code says how an attempt or a health check ended.
type Code uint8

// The outcomes of an attempt.
const (
	Served           Code = iota // with an answer
	WorkerError                  // the worker has failed
	Saturated                    // rejected by the worker, unseen
	DeadlineExceeded             // no answer in time
	Unreachable                  // no connection could be made
	Reset                        // the connection broke
	Cancelled                    // by ActionCancel
	NotSent                      // by the host
	InvalidRequest               // the worker says that the request is at fault; it may have run all the same
)

// NeverRan reports whether the code proves that the job did not run.
func (c Code) NeverRan() bool { return c == Saturated || c == Unreachable || c == NotSent }

// An EventKind says which fields of an Event hold.
type EventKind uint8

// The kinds of events, with the fields that hold.
const (
	EventRequest            EventKind = iota // Request
	EventEndpoints                           // EndpointUpdate, PollFailure, Workers
	EventStarted                             // ID, Attempt: the job runs, or its stream flows (Stream)
	EventProgress                            // ID, Attempt: the job makes progress
	EventOutcome                             // ID, Attempt, Worker, Code, Took, Ended, Load
	EventClientDisconnected                  // ID
	EventTimer                               // Token
	EventHealthChecked                       // Worker, Code, Took, Load
	EventMessage                             // From, Data
	EventQuotas                              // Quotas: the tenants' shares have changed
)

// An Event is something that the dispatcher learns of.
type Event struct {
	Kind           EventKind
	Request        Request
	ID             uint64
	Attempt        int
	Worker         string
	Code           Code
	Took           int64
	Ended          bool // the request has its final answer
	Stream         bool
	HasLoad        bool
	Load           [MaxGauges]float64
	Token          uint64
	EndpointUpdate EndpointUpdate
	PollFailure    PollFailure // where EndpointUpdate is EndpointsPollFailed
	Workers        []Worker
	From           int
	Data           []byte
	Quotas         []float64 // one for each tenant
}

// An ActionKind says which fields of an Action hold.
type ActionKind uint8

// The kinds of actions, with the fields that hold.
const (
	ActionSend           ActionKind = iota // ID, Worker, Timeout: attempts of a request count from 0
	ActionShed                             // ID, RetryAfter: a final answer; the client may safely try again
	ActionFail                             // ID: a final answer without any promise
	ActionCancel                           // ID, Attempt
	ActionTimer                            // At, Token
	ActionHealthCheck                      // Worker
	ActionClose                            // Worker: give back its idle connections
	ActionMessage                          // To (-1 for all), Data
	ActionWatchEndpoints                   // poll for the list's changes from now on
)

// An Action is something that the host is to do.
type Action struct {
	Kind       ActionKind
	ID         uint64
	Worker     string
	Attempt    int
	Timeout    int64 // 0 means as long as the client waits
	RetryAfter int64 // 0 means no advice
	At         int64
	Token      uint64
	To         int
	Data       []byte
}
