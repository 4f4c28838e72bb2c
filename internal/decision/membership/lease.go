// Package membership keeps what a dispatcher knows of discovery: how far the endpoint list can be relied
// on (Lease) and when discovery is to be asked for it (PollSchedule). Both are plain state machines: the
// caller passes the time, in nanoseconds on the dispatcher's clock, and the source of randomness.
//
// A change of the list counts as notified some seconds after discovery had it, whether or not it arrived
// here, and also while this process was down. A list that may be older than that is stale: by it nothing
// is sent, unless discovery may well be down, which notifies nobody of changes.
package membership

// A PollFailure is what a failed poll tells of discovery.
type PollFailure uint8

// What a failed poll may tell.
const (
	FailureBusy       PollFailure = iota // refused after a wait: it is down, or has too many callers
	FailureUnanswered                    // refused at once, silent, or reset: it may be there for others
	FailureDown                          // nobody listens there: it tells nobody of changes
	FailureInvalid                       // it answers, with nothing of use: what it has counts as known
)

const (
	second = int64(1e9)

	// CachedEndpointsGrace is how long a process that has just started waits for discovery's first answer before
	// it goes by the list that it was started with: by then discovery is most likely out of order.
	CachedEndpointsGrace = 5 * second

	// DiscoveryChangeLease is how long the list may be relied on after another discovery was named: what
	// that one has counts as known then.
	DiscoveryChangeLease = 4 * second

	exploreInterval = second // between sends to workers of which nothing is known, by a stale list
)

// A Lease is what the polls say of the endpoint list's age.
type Lease struct {
	duration    int64       // how old the list may be; 0: of any age
	confirmed   bool        // a poll has been answered since the start
	confirmedAt int64       // when the last one was; the start, before the first
	failure     PollFailure // what the failed polls since tell; FailureBusy before any: the list may be used
	exploredAt  int64       // when a worker of which nothing is known was last tried by a stale list; 0: never
}

// NewLease returns the lease of a list that may be so old where discovery is seen to answer others; a
// duration of 0 means of any age.
func NewLease(duration int64) Lease { return Lease{duration: duration} }

// Start notes when the process has started.
func (l *Lease) Start(now int64) { l.confirmedAt = now }

// Confirm notes that discovery has answered: the list is as new as can be.
func (l *Lease) Confirm(now int64) {
	*l = Lease{duration: l.duration, confirmed: true, confirmedAt: now}
}

// RecordFailure notes a failed poll. What has shown that discovery can be reached stays noted until it
// answers.
func (l *Lease) RecordFailure(f PollFailure) {
	if l.failure != FailureInvalid || f == FailureDown {
		l.failure = f
	}
}

// ChangeDiscovery notes that another discovery has been named, and is yet to answer.
func (l *Lease) ChangeDiscovery(now int64) {
	l.failure = FailureBusy
	l.confirmedAt = min(l.confirmedAt, now-l.duration+DiscoveryChangeLease)
}

// Fresh reports whether the list holds every change that counts as notified.
func (l *Lease) Fresh(now int64) bool {
	return l.duration == 0 || l.failure == FailureDown || l.confirmed && now-l.confirmedAt < l.duration
}

// Usable reports whether jobs may be sent by the list as it is known, if only to some workers.
func (l *Lease) Usable(now int64) bool {
	switch {
	case l.Fresh(now):
		return true
	case l.confirmed:
		return l.failure == FailureBusy
	}
	return l.failure != FailureInvalid && now-l.confirmedAt >= CachedEndpointsGrace
}

// Covers reports whether what was seen at a time still holds.
func (l *Lease) Covers(at, now int64) bool { return now-at < l.duration }

// MayExplore reports whether a worker of which nothing is known may be tried by a stale list.
func (l *Lease) MayExplore(now int64) bool {
	return l.exploredAt == 0 || now-l.exploredAt >= exploreInterval
}

// RecordExplored notes that such a worker is tried now.
func (l *Lease) RecordExplored(now int64) { l.exploredAt = now }
