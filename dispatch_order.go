package foxlift

// The order of dispatch: which tenant's job is sent next while there is room.

import "math"

// dispatch sends what is waiting while there is room: first jobs that go again,
// then tenants within their bands, then the rest evenly.
func (d *Dispatcher) dispatch() {
	d.round++
	d.refill()
	d.sendAgain()
	if !d.ListTrusted() {
		return
	}
	for d.sendNext(true) {
	}
	for (d.open || d.burstTokens >= 1) && d.busy() < d.window && d.sendNext(false) {
		d.burstTokens = max(0, d.burstTokens-1)
	}
}

// queueRoom is how many of our jobs that cannot be moved may wait at the workers, so
// that all dispatchers together keep the queues there short: about one at each.
func (d *Dispatcher) queueRoom() int { return max(2, len(d.live)/d.cfg.Dispatchers) }

func (d *Dispatcher) sendAgain() {
	kept := d.resend[:0]
	for _, j := range d.resend {
		if j.ended {
			continue
		}
		w := d.pick(j)
		if w == nil {
			if j.out == 0 && d.now+2*d.tick >= j.req.Deadline {
				d.giveUp(j, 0)
			} else {
				kept = append(kept, j)
			}
			continue
		}
		j.again = false
		d.callOff(j)
		d.send(j, w)
	}
	clear(d.resend[len(kept):])
	d.resend = kept
}

// sendNext sends one job: within the bands, of the tenant furthest under them;
// past the bands, of the tenant that had fewest such jobs.
func (d *Dispatcher) sendNext(within bool) bool {
	for {
		var best *tenant
		most := math.Inf(-1)
		for i := range d.tenants {
			t := &d.tenants[i]
			rank := -t.overQuotaSends
			if within {
				rank = t.tokens / t.burst()
			}
			if t.blocked != d.round && !(within && t.tokens < 1) && rank > most && t.waiting() {
				best, most = t, rank
			}
		}
		if best == nil {
			return false
		}
		if d.sendFrom(best) {
			if within {
				best.tokens--
			} else {
				best.overQuotaSends++
			}
			return true
		}
		best.blocked = d.round
	}
}

// urgency orders the jobs of one tenant: by the share of its wait that a job has
// spent, over the share of its class lately sent. A tenant's share is a share of
// each class: one class must not eat it because its jobs may wait longest.
func (t *tenant) urgency(d *Dispatcher, j *job) float64 {
	c := &t.classes[j.req.Class]
	got := (c.sent + 1) / (c.came + 1)
	if t.over() {
		return 1 / got
	}
	return float64(d.now-j.born+1) / float64(d.holdLimit(j)) / (got * got)
}

// sendFrom sends the tenant's most urgent job that a worker has room for: of each
// class the oldest, or, where most must be refused, the newest, which has its
// whole time before it.
func (d *Dispatcher) sendFrom(t *tenant) bool {
	for {
		var best *job
		most := -1.0
		for k, q := range t.queues {
			if len(q) == 0 || t.classes[k].blocked == d.round {
				continue
			}
			j := next(q, d.newestFirst(t, q), d.round)
			if j == nil {
				continue
			}
			if n := t.urgency(d, j); n > most {
				best, most = j, n
			}
		}
		if best == nil {
			return false
		}
		c := &t.classes[best.req.Class]
		if w := d.pick(best); w != nil {
			t.drop(best)
			c.sent++
			d.send(best, w)
			return true
		}
		if best.blocked = d.round; best.req.Among == nil {
			c.blocked = d.round
		} // others of its class may go to other workers
	}
}
