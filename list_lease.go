package foxlift

// How far the machine list can be trusted. A change counts as known some seconds after discovery had it,
// whether or not it arrived here, and also while this process was down. A list that may be older than that
// is past its lease: nothing is sent by it.

// A ListFailure is what a failed call tells of discovery.
type ListFailure uint8

const (
	FailureUnclear ListFailure = iota // it may be down, or have too many callers: the list stays believed
	FailureDown                       // nobody listens there: it tells nobody of changes
	FailureSpoilt                     // it answers, with nothing that can be used: what it has counts as known
)

// A listLease is what the calls to discovery say of the list's age.
type listLease struct {
	confirmed   bool  // a call has been answered since the start
	confirmedAt int64 // when the last one was; the start, before the first
	failed      ListFailure
}

// confirm notes that discovery has answered: the list is as new as can be.
func (l *listLease) confirm(now int64) {
	*l = listLease{confirmed: true, confirmedAt: now}
}

// fail notes a failed call. What has shown that discovery can be reached stays noted until it answers.
func (l *listLease) fail(f ListFailure) {
	if f != FailureUnclear || l.failed == FailureDown {
		l.failed = f
	}
}

// savedListHold is how long a process that has just started waits for discovery's first answer before it
// goes by the list that it was started with: by then discovery is most likely out of order.
const savedListHold = 5 * second

// ListTrusted reports whether jobs may be sent by the list as it is known.
func (d *Dispatcher) ListTrusted() bool {
	l := &d.lease
	switch {
	case d.cfg.ListLease == 0 || l.failed == FailureDown:
		return true
	case l.failed == FailureSpoilt:
		return l.confirmed && d.now-l.confirmedAt < d.cfg.ListLease
	}
	return l.confirmed || d.now-l.confirmedAt >= savedListHold
}
