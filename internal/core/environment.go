package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// An Environment is what a running core acts through, and what it starts from.
type Environment struct {
	Workers         Workers
	EndpointWatch   EndpointWatch
	Peers           Peers            // nil where schedulers exchange no messages
	MaxOpen         int              // jobs that the platform can hold open; more are shed at once
	CachedEndpoints []foxlift.Worker // the endpoint list as last known
}

// AttemptLimits are the times that an attempt has.
type AttemptLimits struct {
	Remaining   time.Duration // how long the client still waits
	WriteWithin time.Duration // the last byte must be written by then, or never; 0: no such limit
}

// Workers reaches the workers. Its methods are called on the core's goroutine and must not block.
type Workers interface {
	// Send starts an attempt. It calls report with what happens, from any goroutine, the last time
	// with Ended set. cancel ends the attempt early by closing its connection.
	Send(worker string, job *Job, limits AttemptLimits, report func(Report)) (cancel func())
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(worker string)
	// HealthCheck asks a worker for a sign of life and calls report once.
	HealthCheck(worker string, report func(Report))
}

// EndpointWatch is the watch on discovery's endpoint list.
type EndpointWatch interface {
	// Watch starts the watch, or does nothing where there is one. What it learns comes back through
	// Core.UpdateEndpoints, ConfirmEndpoints, ChangeDiscovery and RecordPollFailure; it goes on by itself.
	Watch()
}

// Peers reaches the other schedulers of the fleet.
type Peers interface {
	// Send sends a message to one of them by its number, or to all with -1. It is called on the
	// core's goroutine and must not block; the message may be lost.
	Send(to int, data []byte)
}

// A Report is what is known of an attempt or of a health check. An attempt that neither makes
// progress nor has ended has started.
type Report struct {
	Progress bool
	Ended    bool
	Code     foxlift.Code // how it ended
	Result   []byte       // of a served job
	HasLoad  bool
	Load     [foxlift.MaxGauges]float64
}
