package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// An Environment holds the interfaces through which a core acts, and the values that it starts with.
type Environment struct {
	Workers         Workers
	EndpointWatch   EndpointWatch
	Peers           Peers            // nil if schedulers exchange no messages
	MaxOpen         int              // maximum number of open jobs that the platform can hold; others are shed
	CachedEndpoints []foxlift.Worker // endpoint list as recorded before the start
}

// AttemptLimits holds the time limits of an attempt, relative to its start.
type AttemptLimits struct {
	Remaining   time.Duration // time until the client stops waiting
	WriteWithin time.Duration // the last byte must not be written later than this; 0: no limit
}

// Workers sends attempts and health checks to the workers. Its methods are called on the event loop's
// goroutine and must not block.
type Workers interface {
	// Send starts an attempt. It calls report for each change of the attempt's state, from any goroutine; the
	// last report has Ended set. cancel ends the attempt early by closing its connection, and has no effect if
	// the attempt has ended; it is called in either case, and reports after it are ignored.
	Send(worker string, job *Job, limits AttemptLimits, report func(Report)) (cancel func())
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(worker string)
	// HealthCheck sends a health check to a worker and calls report once with the result.
	HealthCheck(worker string, report func(Report))
}

// EndpointWatch polls discovery for changes of the endpoint list.
type EndpointWatch interface {
	// Watch starts polling, which continues without further calls; if it has started already, Watch does
	// nothing. The results are reported by Core.UpdateEndpoints, ConfirmEndpoints, ChangeDiscovery and
	// RecordPollFailure.
	Watch()
}

// Peers sends messages to the other schedulers of the fleet.
type Peers interface {
	// Send sends a message to the peer with an index, or to all peers if to is -1. It is called on the event
	// loop's goroutine and must not block. The message may be lost.
	Send(to int, data []byte)
}

// A Report describes a change of an attempt, or the result of a health check. A report of an attempt with
// neither Progress nor Ended means that the attempt has started.
type Report struct {
	Progress bool         // the worker reports progress of the job
	Ended    bool         // the attempt has ended
	Code     foxlift.Code // outcome, if Ended or of a health check
	Result   []byte       // result of the job, if Code is Served
	HasLoad  bool         // Load is set
	Load     [foxlift.MaxGauges]float64
}
