package soak

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// The rules' figures, as lab.World tells them in its settings, with the slack of 50 ms on sockets. A process
// that stands still for up to 0.15 s is late by that, but for the grace of drains, which covers it.
const (
	notifiedWithin  = 6 * time.Second // a change counts as known so long after discovery had it and could be reached
	drainGrace      = 750 * time.Millisecond
	slack           = 50 * time.Millisecond
	standstill      = 150 * time.Millisecond
	disconnectSlack = 100 * time.Millisecond
	deadlineSlack   = 150 * time.Millisecond
	linkTime        = 100 * time.Millisecond // that a slow link may take, with the machine's own delays
	writeQuiet      = time.Second            // an answer counts as told when written if its link was well so long after
)

// judge counts the broken rules.
func (p *run) judge(load *fleet.Load, r *Result) {
	p.record.mu.Lock()
	defer p.record.mu.Unlock()
	v := &r.Violations
	v.Exit += p.record.exits
	v.Lost += r.Tally.Lost + r.Tally.Rejected
	if r.Tally.Lost+r.Tally.Rejected > 0 {
		p.logf("lost: %d jobs without an answer in time, %d good ones answered with 4xx", r.Tally.Lost, r.Tally.Rejected)
	}
	for _, id := range p.f.Twice() {
		v.Duplicate++
		p.logf("duplicate: %s", id)
	}
	v.StartOverload += p.f.Fallen()
	sent := load.SentAt()
	waits := map[string]time.Duration{}
	for _, c := range p.f.Classes {
		waits[c.Name] = c.Deadline
	}
	leaves := map[string]time.Time{}
	for _, l := range p.record.disconnects {
		leaves[l.id] = l.at
	}
	off := p.unavailabilities()
	for _, a := range p.f.Arrivals() {
		r.Sends++
		class, i := origin(a.ID)
		if p.violatesDrain(a, i, off[a.Worker]) {
			v.Drain++
		}
		if at, left := leaves[a.ID]; left && a.Begun.Sub(at) > disconnectSlack+slack+linkTime && !p.record.linkFaulty(i, a.Worker, at, a.Begun) {
			v.Disconnected++
			p.logf("gone: %s reaches %s %v after its submitter left", a.ID, a.Worker, a.Begun.Sub(at))
		}
		if at, known := sent[a.ID]; known {
			left := at.Add(waits[class]).Sub(a.Begun)
			if a.Remaining > left+deadlineSlack+slack+linkTime && !p.record.linkFaulty(i, a.Worker, at, a.Begun) {
				v.Deadline++
				p.logf("deadline: %s is told %v, and has %v", a.ID, a.Remaining, left)
			}
		}
	}
}

// origin returns a job's class and the number of its scheduler, as its id tells: name/tenant/class/i-n.
func origin(id string) (class string, i int) {
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

// An unavailability is a time in which a node was not live in the list.
type unavailability struct {
	change standin.Change
	until  time.Time // zero: to the end
}

// unavailabilities returns them by node.
func (p *run) unavailabilities() map[string][]unavailability {
	off := map[string][]unavailability{}
	open := map[string]bool{}
	for _, c := range p.f.Discovery.Changes() {
		all := off[c.Host]
		switch {
		case c.Health == "active" && open[c.Host]:
			all[len(all)-1].until = c.At
			open[c.Host] = false
		case c.Health != "active" && !open[c.Host]:
			off[c.Host] = append(all, unavailability{change: c})
			open[c.Host] = true
		}
	}
	return off
}

// drains reports whether an arrival came past the grace at a node that drains or is gone.
func (p *run) violatesDrain(a standin.Arrival, i int, off []unavailability) bool {
	for _, o := range off {
		if a.Begun.Before(o.change.At) || !o.until.IsZero() && a.Begun.After(o.until) {
			continue
		}
		known := p.notifiedAt(i, o.change, a.Begun)
		if late := a.Begun.Sub(known) - drainGrace - slack; late > 0 {
			p.logf("drain: %s reaches %s %.2f s after the list said %q (version %d), %.2f s after it counted as known",
				a.ID, a.Worker, a.Begun.Sub(o.change.At).Seconds(), o.change.Health, o.change.Version, a.Begun.Sub(known).Seconds())
			return true
		}
	}
	return false
}

// notifiedAt returns when a change counts as known to a scheduler, for something that it did at a time: when
// discovery had written it to the process that runs then, and at the latest some seconds after discovery had
// it and could be reached.
func (p *run) notifiedAt(i int, c standin.Change, at time.Time) time.Time {
	latest := p.reachableFrom(i, c.At).Add(notifiedWithin)
	for _, w := range p.f.Discovery.Writes(p.f.Processes[i].Name) {
		if w.Version < c.Version || w.At.Before(c.At) {
			continue
		}
		if w.At.After(latest) {
			break
		}
		if !p.partitionedFromDiscovery(i, w.At.Add(-writeQuiet), w.At.Add(writeQuiet)) && !p.record.restarted(i, w.At.Add(-writeQuiet), at) {
			return w.At
		}
	}
	return latest
}

// reachableFrom returns from when on a scheduler could reach discovery for as long as it may take to be told.
func (p *run) reachableFrom(i int, from time.Time) time.Time {
	spans := append([]span(nil), p.record.partitions[i]...)
	sort.Slice(spans, func(a, b int) bool { return spans[a].from.Before(spans[b].from) })
	for _, s := range spans {
		if s.overlaps(from, from.Add(notifiedWithin)) {
			from = s.to
		}
	}
	return from
}

// apart reports whether a scheduler could not reach discovery at some moment between two times.
func (p *run) partitionedFromDiscovery(i int, from, to time.Time) bool {
	for _, s := range p.record.partitions[i] {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}
