// Package membership tracks a dispatcher's view of discovery: whether the endpoint list is recent enough to
// rely on (Lease) and when to poll discovery for it (PollSchedule). Both are plain state machines: the
// caller passes the time, in nanoseconds on the dispatcher's clock, and the source of randomness.
//
// A change of the list counts as notified some seconds after discovery has it, even if it did not arrive
// here or this process was down. A list that may be older than that is stale, and no job is sent by it: a
// discovery that answers no call of this process may be down, but may as well answer the calls of others.
package membership

import "math"

// A PollFailure says what a failed poll shows about discovery.
type PollFailure uint8

// The kinds of poll failures.
const (
	FailureBusy       PollFailure = iota // refused after a wait: discovery is down or overloaded
	FailureUnanswered                    // refused at once, timed out or reset: discovery may still serve others
	FailureDown                          // nothing listens at the address: discovery notifies nobody of changes
	FailureInvalid                       // unusable answer: discovery runs, so its changes count as notified
)

const (
	second = int64(1e9)

	// FirstAnswerGrace is how long a new process waits for discovery's first answer before it is ready without
	// one: by then discovery is most likely out of order.
	FirstAnswerGrace = 5 * second

	// DiscoveryChangeLease is how long the list stays fresh, at most, after the configuration names another
	// discovery: from then on the changes that the new one has count as notified.
	DiscoveryChangeLease = 4 * second
)

// A Lease tracks the age of the endpoint list by the results of the polls.
type Lease struct {
	duration  int64 // age at which the list becomes stale; 0: never
	startedAt int64 // time of the start of the process
	expiresAt int64 // time at which the list becomes stale
	confirmed bool  // a poll was answered since the start
	changed   bool  // another discovery was configured since the last answer
	reached   bool  // a poll since the last answer failed in a way that shows that discovery may run
	invalid   bool  // FailureInvalid was recorded since the last answer, and no FailureDown after it
}

// NewLease returns the lease of a list that becomes stale at the age of duration, in nanoseconds, unless
// discovery is down; with a duration of 0 it never becomes stale.
func NewLease(duration int64) Lease { return Lease{duration: duration} }

// Start records the start of the process. The age of the list that it starts with is not known, so the list
// is stale unless discovery is down.
func (l *Lease) Start(now int64) { l.startedAt = now }

// Confirm records an answer of discovery: the list is up to date, and all earlier failures are cleared.
func (l *Lease) Confirm(now int64) {
	*l = Lease{duration: l.duration, startedAt: l.startedAt, confirmed: true, expiresAt: now + l.duration}
}

// Inherit records that the list is that of the process which this one takes over from, and that it stays
// fresh there for remaining nanoseconds. It has no effect once discovery has answered this process.
func (l *Lease) Inherit(now, remaining int64) {
	if !l.confirmed && remaining > 0 {
		l.expiresAt = max(l.expiresAt, now+min(remaining, l.duration))
	}
}

// RecordFailure records a failed poll. FailureInvalid, which shows that discovery can be reached, stays
// recorded until discovery answers or is changed, unless nothing listens there any more (FailureDown). That
// renews the lease of a list that is fresh, since the time from a change to its notification begins when
// discovery is back; a stale list stays stale, since it may lack changes from before the outage.
func (l *Lease) RecordFailure(now int64, f PollFailure) {
	if f != FailureDown {
		l.reached = true
		l.invalid = l.invalid || f == FailureInvalid
		return
	}
	l.invalid = false
	if !l.changed && (l.Fresh(now) || l.onlyKnownDown()) {
		l.expiresAt = now + l.duration
	}
}

// onlyKnownDown reports whether nothing has shown since the start that discovery may run.
func (l *Lease) onlyKnownDown() bool { return !l.confirmed && !l.reached }

// ChangeDiscovery records that another discovery was configured, which has not answered yet. Unless the lease
// never ends, the list stays fresh for at most DiscoveryChangeLease from now on, whatever the failures of the
// new discovery show. Earlier failures are cleared.
func (l *Lease) ChangeDiscovery(now int64) {
	l.changed, l.invalid = true, false
	l.expiresAt = min(l.expiresAt, now+DiscoveryChangeLease)
}

// Fresh reports whether the list has every change that counts as notified, so that jobs may be sent by it:
// the lease never ends, or discovery answered, or was down, less than the lease's duration ago.
func (l *Lease) Fresh(now int64) bool { return l.duration == 0 || now < l.expiresAt }

// ExpiresAt returns the time at which the list becomes stale if discovery does not answer, or became stale;
// math.MaxInt64 if the lease never ends.
func (l *Lease) ExpiresAt() int64 {
	if l.duration == 0 {
		return math.MaxInt64
	}
	return l.expiresAt
}

// AwaitsFirstAnswer reports whether the process should wait for an answer of discovery before it is ready:
// the list is stale, and FirstAnswerGrace is not over or discovery runs (FailureInvalid).
func (l *Lease) AwaitsFirstAnswer(now int64) bool {
	return !l.confirmed && !l.Fresh(now) && (l.invalid || now-l.startedAt < FirstAnswerGrace)
}
