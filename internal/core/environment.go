package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Limits are the times that a claim has.
type AttemptLimits struct {
	Remaining   time.Duration // the submitter waits so long
	WriteWithin time.Duration // the last byte must be written by then, or never; 0: no such limit
}

// Nodes reaches the execute nodes. Its methods are called on the core's
// goroutine and must not block.
type Workers interface {
	// Send starts a claim. It calls report with what happens, from any
	// goroutine, the last time with Ended set. withdraw ends the claim early
	// by closing its connection.
	Send(node string, job *Job, limits AttemptLimits, report func(Report)) (withdraw func())
	// CloseIdle closes the idle connections to a node.
	CloseIdle(node string)
	// Probe asks a node for a sign of life and calls report once.
	HealthCheck(node string, report func(Report))
}

// EndpointWatch is the watch on discovery's list.
type EndpointWatch interface {
	// Watch starts the watch, or does nothing where there is one. What it learns comes
	// back through Core.UpdateEndpoints, each failure as EndpointsPollFailed; it goes on by itself.
	Watch()
}

// Peers reaches the other schedulers.
type Peers interface {
	// Tell sends a message to one of them by its number, or to all with -1. It is called
	// on the core's goroutine and must not block; the message may be lost.
	Send(to int, data []byte)
}

// A Report is what a claim or a probe has to tell.
type Report struct {
	Progress bool // the job makes progress (neither Progress nor Ended: it started)
	Ended    bool
	Code     foxlift.Code // how it ended
	Result   []byte       // of a served job
	HasLoad  bool
	Load     [foxlift.MaxGauges]float64
}
