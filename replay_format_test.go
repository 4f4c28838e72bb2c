package foxlift_test

import "github.com/vatu-meals/foxlift"

// Tables of the constants in recordings. A constant is stored as its position in its table, so new constants must
// be appended.
var (
	storedEffects = []foxlift.Effect{foxlift.Idempotent, foxlift.Deduplicated, foxlift.AtMostOnce}
	storedScopes  = []foxlift.Scope{foxlift.ScopeAll, foxlift.ScopeZone, foxlift.ScopeCell}
	storedGauges  = []foxlift.Gauge{
		foxlift.GaugeUnknown, foxlift.GaugeInFlight, foxlift.GaugeQueued, foxlift.GaugeBusy, foxlift.GaugeLatency,
		foxlift.GaugeThroughput, foxlift.GaugeErrors, foxlift.GaugeFreeSlots, foxlift.GaugeFreeMemory,
	}
	storedStates          = []foxlift.WorkerState{foxlift.Live, foxlift.Draining, foxlift.Removed}
	storedEndpointUpdates = []foxlift.EndpointUpdate{
		foxlift.EndpointsDelta, foxlift.EndpointsComplete, foxlift.EndpointsCached, foxlift.EndpointsPollFailed,
		foxlift.EndpointsConfirmed, foxlift.DiscoveryChanged,
	}
	storedFailures = []foxlift.PollFailure{
		foxlift.FailureBusy, foxlift.FailureUnanswered, foxlift.FailureDown, foxlift.FailureInvalid,
	}
	storedCodes = []foxlift.Code{
		foxlift.Served, foxlift.WorkerError, foxlift.Saturated, foxlift.DeadlineExceeded, foxlift.Unreachable, foxlift.Reset,
		foxlift.Cancelled, foxlift.NotSent, foxlift.InvalidRequest,
	}
	storedEvents = []foxlift.EventKind{
		foxlift.EventRequest, foxlift.EventEndpoints, foxlift.EventStarted, foxlift.EventProgress, foxlift.EventOutcome,
		foxlift.EventClientDisconnected, foxlift.EventTimer, foxlift.EventHealthChecked, foxlift.EventMessage,
		foxlift.EventQuotas,
	}
	storedActions = []foxlift.ActionKind{
		foxlift.ActionSend, foxlift.ActionShed, foxlift.ActionFail, foxlift.ActionCancel, foxlift.ActionTimer,
		foxlift.ActionHealthCheck, foxlift.ActionClose, foxlift.ActionMessage, foxlift.ActionWatchEndpoints,
	}
)

func (a *archive) floats(v *[]float64) { slice(a, v, a.float) }

func (a *archive) class(c *foxlift.Class) {
	a.string(&c.Name)
	a.duration(&c.LatencyObjective)
	a.float(&c.ObjectiveStretch)
	a.duration(&c.Deadline)
	enum(a, &c.Effect, storedEffects)
	enum(a, &c.Scope, storedScopes)
	a.duration(&c.KeyTTL)
	a.int(&c.Kind)
	a.int(&c.Priority)
	a.float(&c.PriorityWeight)
	a.bool(&c.Stream)
}

func (a *archive) config(c *foxlift.Config) {
	slice(a, &c.Classes, a.class)
	slice(a, &c.Tenants, func(t *foxlift.Tenant) {
		a.string(&t.Name)
		a.float(&t.Quota)
	})
	slice(a, &c.Bands, func(b *foxlift.Band) {
		a.float(&b.Width)
		a.floats(&b.Ratio)
	})
	a.int(&c.Zone)
	a.int(&c.Dispatchers)
	a.int(&c.Index)
	a.bool(&c.PollEndpoints)
	a.duration(&c.MaxPollInterval)
	a.duration(&c.EndpointLease)
	a.bool(&c.MayCancel)
	a.bool(&c.MayHealthCheck)
	a.bool(&c.MayHedge)
	a.bool(&c.MayGossip)
	a.bool(&c.MayRetryAfter)
	a.duration(&c.MaxRetryAfter)
	a.int(&c.MaxAttempts)
	a.duration(&c.ConnIdle)
	a.int(&c.JobsPerConn)
	slice(a, &c.Gauges, func(g *foxlift.Gauge) { enum(a, g, storedGauges) })
	a.bool(&c.StartNotes)
	a.duration(&c.AnswerGrace)
	a.float(&c.SlowStartCapacity)
	a.float(&c.SlotMemory)
	a.duration(&c.SlowStartDuration)
	a.float(&c.OverloadMultiple)
	a.duration(&c.OverloadWindow)
	a.float(&c.Prices.CrossZone)
	a.float(&c.Prices.Handshake)
	a.float(&c.Prices.Fetch)
}

func (a *archive) request(r *foxlift.Request) {
	a.id(&r.ID)
	a.lastID = r.ID
	a.int(&r.Class)
	a.int(&r.Tenant)
	a.time(&r.Deadline)
	a.uint64(&r.Key)
	a.duration(&r.Size)
	a.float(&r.Slots)
	a.float(&r.Memory)
	a.bool(&r.ClientRetry)
	a.duration(&r.Waited)
	a.int(&r.PriorAttempts)
	slice(a, &r.AllowedWorkers, a.string)
}

func (a *archive) worker(w *foxlift.Worker) {
	a.string(&w.ID)
	a.int(&w.Zone)
	a.int(&w.Kind)
	a.int(&w.Cell)
	enum(a, &w.State, storedStates)
	a.time(&w.StartedAt)
	a.float(&w.ExternalSlots)
}

// event stores the fields that an event of its kind has, as documented in api.go.
func (a *archive) event(e *foxlift.Event) {
	enum(a, &e.Kind, storedEvents)
	switch e.Kind {
	case foxlift.EventRequest:
		a.request(&e.Request)
	case foxlift.EventEndpoints:
		enum(a, &e.EndpointUpdate, storedEndpointUpdates)
		enum(a, &e.PollFailure, storedFailures)
		slice(a, &e.Workers, a.worker)
	case foxlift.EventStarted, foxlift.EventProgress:
		a.id(&e.ID)
		a.int(&e.Attempt)
		a.bool(&e.Stream)
	case foxlift.EventOutcome:
		a.id(&e.ID)
		a.int(&e.Attempt)
		a.bool(&e.Ended)
		a.answer(e)
	case foxlift.EventClientDisconnected:
		a.id(&e.ID)
	case foxlift.EventTimer:
		a.uint64(&e.Token)
	case foxlift.EventHealthChecked:
		a.answer(e)
	case foxlift.EventMessage:
		a.int(&e.From)
		a.bytes(&e.Data)
	case foxlift.EventQuotas:
		a.floats(&e.Quotas)
	}
}

// answer stores a worker's answer to an attempt or a health check.
func (a *archive) answer(e *foxlift.Event) {
	a.string(&e.Worker)
	enum(a, &e.Code, storedCodes)
	a.duration(&e.Took)
	a.bool(&e.HasLoad)
	if e.HasLoad {
		for i := range e.Load {
			a.float(&e.Load[i])
		}
	}
}

// action stores all fields, since a replayed action must be equal in each.
func (a *archive) action(x *foxlift.Action) {
	enum(a, &x.Kind, storedActions)
	a.optional(x.ID != 0, func() { a.id(&x.ID) })
	a.optional(x.Worker != "", func() { a.string(&x.Worker) })
	a.optional(x.Attempt != 0 || x.Timeout != 0 || x.RetryAfter != 0 || x.At != 0 || x.Token != 0, func() {
		a.int(&x.Attempt)
		a.duration(&x.Timeout)
		a.duration(&x.RetryAfter)
		a.time(&x.At)
		a.uint64(&x.Token)
	})
	a.optional(x.To != 0 || len(x.Data) > 0, func() {
		a.int(&x.To)
		a.bytes(&x.Data)
	})
}

// An operation is one recorded call of a dispatcher with its results.
type operation struct {
	kind       operationKind
	dispatcher int // index of the dispatcher in the recording

	now     int64 // operationStep
	events  []foxlift.Event
	actions []foxlift.Action

	idle, endpointsUsable bool // operationInspect
	ejected               int
	digest                uint64 // digest of the snapshot as JSON

	snapshot []byte         // operationSnapshot, as JSON
	config   foxlift.Config // operationStart
	seed     uint64
}

type operationKind uint8

const (
	operationEOF      operationKind = iota // end of the recording
	operationStart                         // a new dispatcher starts at an index, which may replace an earlier one
	operationStep                          // the dispatcher receives events and returns actions
	operationInspect                       // the results of its query methods are compared
	operationSnapshot                      // its snapshot is compared and kept for operationRestore
	operationRestore                       // it is restored from the snapshot that was kept last
)

var storedOperations = []operationKind{
	operationEOF, operationStart, operationStep, operationInspect, operationSnapshot, operationRestore,
}

func (a *archive) operation(o *operation) {
	enum(a, &o.kind, storedOperations)
	a.int(&o.dispatcher)
	switch o.kind {
	case operationStart:
		a.config(&o.config)
		a.uint64(&o.seed)
	case operationStep:
		a.time(&o.now)
		a.now = o.now
		slice(a, &o.events, a.event)
		slice(a, &o.actions, a.action)
	case operationInspect:
		a.bool(&o.idle)
		a.bool(&o.endpointsUsable)
		a.int(&o.ejected)
		a.uint64(&o.digest)
	case operationSnapshot:
		a.bytes(&o.snapshot)
	}
}
