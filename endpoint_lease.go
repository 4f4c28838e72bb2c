package foxlift

// The age of the endpoint list. A change of the list counts as notified some seconds after discovery has it,
// even if it did not arrive here or this process was down. A list that may be older than that is stale, and
// no job is sent by it.

import "github.com/vatu-meals/foxlift/internal/decision/membership"

// A PollFailure says what a failed poll shows about discovery.
type PollFailure = membership.PollFailure

// The kinds of poll failures.
const (
	// FailureBusy is a refusal after a wait: discovery is down or overloaded.
	FailureBusy = membership.FailureBusy
	// FailureUnanswered is an immediate refusal, a timeout or a reset: discovery may still serve others.
	FailureUnanswered = membership.FailureUnanswered
	// FailureDown means that nothing listens at the address: discovery notifies nobody of changes.
	FailureDown = membership.FailureDown
	// FailureInvalid is an unusable answer: discovery runs, so its changes count as notified.
	FailureInvalid = membership.FailureInvalid
)

// EndpointsUsable reports whether jobs may be sent by the current endpoint list.
func (d *Dispatcher) EndpointsUsable() bool { return d.endpoints.lease.Fresh(d.now) }

// EndpointsExpireAt returns the time in nanoseconds from which no job may be sent by the current list if
// discovery does not answer: a past time if none may be sent now, math.MaxInt64 if Config.EndpointLease
// is 0.
func (d *Dispatcher) EndpointsExpireAt() int64 { return d.endpoints.lease.ExpiresAt() }

// AwaitsEndpoints reports whether the host should wait for discovery's first answer before it is ready.
func (d *Dispatcher) AwaitsEndpoints() bool { return d.endpoints.lease.AwaitsFirstAnswer(d.now) }
