// Package membership tracks a dispatcher's view of discovery: whether the endpoint list is recent enough to
// rely on (Lease) and when to poll discovery for it (PollSchedule). Both are plain state machines: the
// caller passes the time, in nanoseconds on the dispatcher's clock, and the source of randomness.
//
// A change of the list counts as notified some seconds after discovery has it, even if it did not arrive
// here or this process was down. A list that may be older than that is stale, and no job is sent by it: a
// discovery that answers no call of this process may be down, but may as well answer the calls of others.
package membership

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

	// CachedEndpointsGrace is how long a new process waits for discovery's first answer before it uses the
	// cached list that it was started with: by then discovery is most likely out of order.
	CachedEndpointsGrace = 5 * second

	// DiscoveryChangeLease is how long the list stays fresh, at most, after the configuration names another
	// discovery: from then on the changes that the new one has count as notified.
	DiscoveryChangeLease = 4 * second

	exploreInterval = second // between sends to unproven workers while the list is stale
)

// A Lease tracks the age of the endpoint list by the results of the polls.
type Lease struct {
	duration    int64       // age at which the list becomes stale; 0: never
	confirmed   bool        // a poll was answered since the start
	confirmedAt int64       // time of the last answer; before the first one, of the start; see ChangeDiscovery
	failure     PollFailure // of the polls since then; FailureBusy before any
	exploredAt  int64       // last send to an unproven worker while the list was stale; 0: never
}

// NewLease returns the lease of a list that becomes stale at the age of duration, in nanoseconds, unless
// discovery is down; with a duration of 0 it never becomes stale.
func NewLease(duration int64) Lease { return Lease{duration: duration} }

// Start records the start of the process.
func (l *Lease) Start(now int64) { l.confirmedAt = now }

// Confirm records an answer of discovery: the list is up to date, and all earlier failures are cleared.
func (l *Lease) Confirm(now int64) {
	*l = Lease{duration: l.duration, confirmed: true, confirmedAt: now}
}

// RecordFailure records a failed poll. FailureInvalid, which shows that discovery can be reached, stays
// recorded until discovery answers or is changed, unless nothing listens there any more (FailureDown).
func (l *Lease) RecordFailure(f PollFailure) {
	if l.failure != FailureInvalid || f == FailureDown {
		l.failure = f
	}
}

// ChangeDiscovery records that another discovery was configured, which has not answered yet. Unless the lease
// never ends, the list stays fresh for at most DiscoveryChangeLease from now on. Earlier failures are
// cleared.
func (l *Lease) ChangeDiscovery(now int64) {
	l.failure = FailureBusy
	l.confirmedAt = min(l.confirmedAt, now-l.duration+DiscoveryChangeLease)
}

// Fresh reports whether the list has every change that counts as notified, so that it can be relied on: the
// lease never ends, discovery is down, or it answered less than the lease's duration ago.
func (l *Lease) Fresh(now int64) bool {
	return l.duration == 0 || l.failure == FailureDown || l.confirmed && now-l.confirmedAt < l.duration
}

// Usable reports whether jobs may be sent with the current list, if only to some workers. Once discovery has
// answered, only a fresh list is usable: a discovery that refuses this process may notify others. Before the
// first answer the list is usable after CachedEndpointsGrace, unless a poll failed with FailureInvalid.
func (l *Lease) Usable(now int64) bool {
	if l.confirmed || l.Fresh(now) {
		return l.Fresh(now)
	}
	return l.failure != FailureInvalid && now-l.confirmedAt >= CachedEndpointsGrace
}

// Covers reports whether an observation made at a time is recent enough to rely on: younger than the duration
// of the lease, which nothing is if the duration is 0.
func (l *Lease) Covers(at, now int64) bool { return now-at < l.duration }

// MayExplore reports whether an unproven worker may be tried now while the list is stale: at most one a
// second.
func (l *Lease) MayExplore(now int64) bool {
	return l.exploredAt == 0 || now-l.exploredAt >= exploreInterval
}

// RecordExplored records that an unproven worker is tried now.
func (l *Lease) RecordExplored(now int64) { l.exploredAt = now }
