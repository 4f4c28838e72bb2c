package soak

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// The limits of the rules, as in the settings of the lab's topology, with a slack of 50 ms on sockets. A suspended
// process is late by up to maxPause, except with drains, whose grace covers it.
const (
	notificationLimit = 6 * time.Second        // after discovery has a change and is reachable; then it counts as known
	drainGrace        = 750 * time.Millisecond // from the notification of a drain or removal until sends must have stopped
	slack             = 50 * time.Millisecond  // on sockets
	maxPause          = 150 * time.Millisecond // how long a scheduler is suspended
	disconnectSlack   = 100 * time.Millisecond // from a client's disconnect until sends of its job must have stopped
	deadlineSlack     = 150 * time.Millisecond // by which the remaining time sent to a worker may be too long
	maxLinkLatency    = 100 * time.Millisecond // of a slow link, including the machine's own delays
	faultFreeMargin   = time.Second            // a written answer counts as received if its link is fault-free around it
)

// countViolations counts the broken rules and logs most of them.
func (p *run) countViolations(load *fleet.Load, r *Result) {
	p.faultRecord.mu.Lock()
	defer p.faultRecord.mu.Unlock()
	v := &r.Violations
	v.Exit += p.faultRecord.failedExits
	v.Lost += r.Tally.Lost + r.Tally.Rejected
	if r.Tally.Lost+r.Tally.Rejected > 0 {
		p.logf("lost: %d jobs without an answer in time, %d valid jobs answered with 4xx", r.Tally.Lost, r.Tally.Rejected)
	}
	for _, id := range p.fleet.DuplicateJobs() {
		v.Duplicate++
		p.logf("duplicate: job %s ran more than once", id)
	}
	v.StartOverload += p.fleet.OverloadedWorkers()
	sent := load.SentAt()
	deadlines := map[string]time.Duration{}
	for _, c := range p.fleet.Classes {
		deadlines[c.Name] = c.Deadline
	}
	disconnects := map[string]time.Time{}
	for _, d := range p.faultRecord.disconnects {
		disconnects[d.id] = d.at
	}
	unavailable := p.unavailableIntervals()
	for _, arrival := range p.fleet.Arrivals() {
		r.Sends++
		class, scheduler := parseJobID(arrival.ID)
		if p.violatesDrain(arrival, scheduler, unavailable[arrival.Worker]) {
			v.Drain++
		}
		if at, ok := disconnects[arrival.ID]; ok && p.violatesDisconnect(arrival, scheduler, at) {
			v.Disconnected++
		}
		if at, ok := sent[arrival.ID]; ok && p.violatesDeadline(arrival, scheduler, at, deadlines[class]) {
			v.Deadline++
		}
	}
}

// violatesDisconnect reports whether a request arrived at a worker too long after its client
// disconnected.
func (p *run) violatesDisconnect(arrival standin.Arrival, scheduler int, disconnectedAt time.Time) bool {
	late := arrival.FirstByte.Sub(disconnectedAt)
	if late <= disconnectSlack+slack+maxLinkLatency ||
		p.faultRecord.linkFaulty(scheduler, arrival.Worker, disconnectedAt, arrival.FirstByte) {
		return false
	}
	p.logf("gone: job %s reached worker %s %v after its client disconnected", arrival.ID, arrival.Worker, late)
	return true
}

// violatesDeadline reports whether a worker was sent a longer remaining time than its job had left.
func (p *run) violatesDeadline(arrival standin.Arrival, scheduler int, sentAt time.Time, deadline time.Duration) bool {
	left := sentAt.Add(deadline).Sub(arrival.FirstByte)
	if arrival.Remaining <= left+deadlineSlack+slack+maxLinkLatency ||
		p.faultRecord.linkFaulty(scheduler, arrival.Worker, sentAt, arrival.FirstByte) {
		return false
	}
	p.logf("deadline: job %s was sent with %v remaining, but had %v left", arrival.ID, arrival.Remaining, left)
	return true
}

// parseJobID returns a job's class and the number of its scheduler from its ID, which has the form
// name/tenant/class/scheduler-number. The number is -1 if the ID has another form.
func parseJobID(id string) (class string, i int) {
	parts := strings.Split(id, "/")
	if len(parts) < 4 {
		return "", -1
	}
	number, _, _ := strings.Cut(parts[3], "-")
	i, err := strconv.Atoi(number)
	if err != nil {
		i = -1
	}
	return parts[2], i
}

// unavailableInterval is an interval in which a worker was not active in the endpoint list.
type unavailableInterval struct {
	change standin.Change // the change that began it
	until  time.Time      // zero: until the end of the run
}

// unavailableIntervals returns the intervals of each worker, by its name.
func (p *run) unavailableIntervals() map[string][]unavailableInterval {
	unavailable := map[string][]unavailableInterval{}
	open := map[string]bool{}
	for _, c := range p.fleet.Discovery.Changes() {
		all := unavailable[c.Host]
		switch {
		case c.Health == standin.Active && open[c.Host]:
			all[len(all)-1].until = c.At
			open[c.Host] = false
		case c.Health != standin.Active && !open[c.Host]:
			unavailable[c.Host] = append(all, unavailableInterval{change: c})
			open[c.Host] = true
		}
	}
	return unavailable
}

// violatesDrain reports whether a request arrived, after the grace, at a worker that is draining or
// removed.
func (p *run) violatesDrain(arrival standin.Arrival, scheduler int, unavailable []unavailableInterval) bool {
	for _, u := range unavailable {
		if arrival.FirstByte.Before(u.change.At) || !u.until.IsZero() && arrival.FirstByte.After(u.until) {
			continue
		}
		notified := p.notifiedAt(scheduler, u.change, arrival.FirstByte)
		if late := arrival.FirstByte.Sub(notified) - drainGrace - slack; late > 0 {
			p.logf("drain: job %s reached worker %s %.2f s after it became %q (version %d), %.2f s after its notification",
				arrival.ID, arrival.Worker, arrival.FirstByte.Sub(u.change.At).Seconds(),
				u.change.Health, u.change.Version, arrival.FirstByte.Sub(notified).Seconds())
			return true
		}
	}
	return false
}

// notifiedAt returns when a scheduler counts as notified of a change, for an action at the time at.
// That is when discovery had written the change to the process that ran then. It is at the latest
// notificationLimit after discovery had the change and was reachable.
func (p *run) notifiedAt(scheduler int, change standin.Change, at time.Time) time.Time {
	latest := p.reachableFrom(scheduler, change.At).Add(notificationLimit)
	for _, w := range p.fleet.Discovery.Writes(p.fleet.Processes[scheduler].Name) {
		if w.Version < change.Version || w.At.Before(change.At) {
			continue
		}
		if w.At.After(latest) {
			break
		}
		quietFrom := w.At.Add(-faultFreeMargin)
		partitioned := p.partitionedFromDiscovery(scheduler, quietFrom, w.At.Add(faultFreeMargin))
		if !partitioned && !p.faultRecord.restarted(scheduler, quietFrom, at) {
			return w.At
		}
	}
	return latest
}

// reachableFrom returns the first time not before from at which a scheduler could reach discovery
// without interruption for notificationLimit.
func (p *run) reachableFrom(scheduler int, from time.Time) time.Time {
	spans := slices.Clone(p.faultRecord.partitions[scheduler])
	slices.SortFunc(spans, func(a, b interval) int { return a.from.Compare(b.from) })
	for _, s := range spans {
		if s.overlaps(from, from.Add(notificationLimit)) {
			from = s.to
		}
	}
	return from
}

// partitionedFromDiscovery reports whether a scheduler could not reach discovery at some moment
// between two times.
func (p *run) partitionedFromDiscovery(scheduler int, from, to time.Time) bool {
	return anyOverlaps(p.faultRecord.partitions[scheduler], from, to)
}
