package soak

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// The rules' figures, as the lab's topology has them in its settings, with the slack of 50 ms on sockets. A process
// that stands still is late by up to standstill, but for the grace of drains, which covers it.
const (
	notificationLimit = 6 * time.Second // a change counts as known so long after discovery had it and could be reached
	drainGrace        = 750 * time.Millisecond
	slack             = 50 * time.Millisecond
	maxPause          = 150 * time.Millisecond
	disconnectSlack   = 100 * time.Millisecond
	deadlineSlack     = 150 * time.Millisecond
	maxLinkLatency    = 100 * time.Millisecond // that a slow link may take, with the machine's own delays
	faultFreeMargin   = time.Second            // an answer counts as heard when written if its link was well so long after
)

// judge counts the broken rules.
func (p *run) countViolations(load *fleet.Load, r *Result) {
	p.faultRecord.mu.Lock()
	defer p.faultRecord.mu.Unlock()
	v := &r.Violations
	v.Exit += p.faultRecord.failedExits
	v.Lost += r.Tally.Lost + r.Tally.Rejected
	if r.Tally.Lost+r.Tally.Rejected > 0 {
		p.logf("lost: %d jobs without an answer in time, %d good ones answered with 4xx", r.Tally.Lost, r.Tally.Rejected)
	}
	for _, id := range p.fleet.DuplicateJobs() {
		v.Duplicate++
		p.logf("duplicate: %s", id)
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
	for _, a := range p.fleet.Arrivals() {
		r.Sends++
		class, i := parseJobID(a.ID)
		if p.violatesDrain(a, i, unavailable[a.Worker]) {
			v.Drain++
		}
		if at, ok := disconnects[a.ID]; ok && p.violatesDisconnect(a, i, at) {
			v.Disconnected++
		}
		if at, ok := sent[a.ID]; ok && p.violatesDeadline(a, i, at, deadlines[class]) {
			v.Deadline++
		}
	}
}

// violatesDisconnect reports whether an arrival came too long after its client disconnected.
func (p *run) violatesDisconnect(a standin.Arrival, i int, disconnectedAt time.Time) bool {
	late := a.FirstByte.Sub(disconnectedAt)
	if late <= disconnectSlack+slack+maxLinkLatency || p.faultRecord.linkFaulty(i, a.Worker, disconnectedAt, a.FirstByte) {
		return false
	}
	p.logf("gone: %s reaches %s %v after its submitter left", a.ID, a.Worker, late)
	return true
}

// violatesDeadline reports whether a worker was told of more time than its job had left.
func (p *run) violatesDeadline(a standin.Arrival, i int, sentAt time.Time, deadline time.Duration) bool {
	left := sentAt.Add(deadline).Sub(a.FirstByte)
	if a.Remaining <= left+deadlineSlack+slack+maxLinkLatency || p.faultRecord.linkFaulty(i, a.Worker, sentAt, a.FirstByte) {
		return false
	}
	p.logf("deadline: %s is told %v, and has %v", a.ID, a.Remaining, left)
	return true
}

// origin returns a job's class and the number of its scheduler, as its id tells: name/tenant/class/i-n.
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

// An unavailability is a time in which a worker was not live in the list.
type unavailableInterval struct {
	change standin.Change
	until  time.Time // zero: to the end
}

// unavailabilities returns them by worker.
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

// violatesDrain reports whether an arrival came past the grace at a worker that drains or is removed.
func (p *run) violatesDrain(a standin.Arrival, i int, unavailable []unavailableInterval) bool {
	for _, u := range unavailable {
		if a.FirstByte.Before(u.change.At) || !u.until.IsZero() && a.FirstByte.After(u.until) {
			continue
		}
		known := p.notifiedAt(i, u.change, a.FirstByte)
		if late := a.FirstByte.Sub(known) - drainGrace - slack; late > 0 {
			p.logf("drain: %s reaches %s %.2f s after the list said %q (version %d), %.2f s after it counted as known",
				a.ID, a.Worker, a.FirstByte.Sub(u.change.At).Seconds(),
				u.change.Health, u.change.Version, a.FirstByte.Sub(known).Seconds())
			return true
		}
	}
	return false
}

// notifiedAt returns when a change counts as known to a scheduler, for something that it did at a time: when
// discovery had written it to the process that runs then, and at the latest some seconds after discovery had
// it and could be reached.
func (p *run) notifiedAt(i int, c standin.Change, at time.Time) time.Time {
	latest := p.reachableFrom(i, c.At).Add(notificationLimit)
	for _, w := range p.fleet.Discovery.Writes(p.fleet.Processes[i].Name) {
		if w.Version < c.Version || w.At.Before(c.At) {
			continue
		}
		if w.At.After(latest) {
			break
		}
		quietFrom := w.At.Add(-faultFreeMargin)
		partitioned := p.partitionedFromDiscovery(i, quietFrom, w.At.Add(faultFreeMargin))
		if !partitioned && !p.faultRecord.restarted(i, quietFrom, at) {
			return w.At
		}
	}
	return latest
}

// reachableFrom returns from when on a scheduler could reach discovery for as long as it may take to be told.
func (p *run) reachableFrom(i int, from time.Time) time.Time {
	spans := slices.Clone(p.faultRecord.partitions[i])
	slices.SortFunc(spans, func(a, b interval) int { return a.from.Compare(b.from) })
	for _, s := range spans {
		if s.overlaps(from, from.Add(notificationLimit)) {
			from = s.to
		}
	}
	return from
}

// partitionedFromDiscovery reports whether a scheduler could not reach discovery at some moment between two times.
func (p *run) partitionedFromDiscovery(i int, from, to time.Time) bool {
	return anyOverlaps(p.faultRecord.partitions[i], from, to)
}
