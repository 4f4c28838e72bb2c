package foxlift

// The order of dispatch: which tenant's job is sent next while there is capacity.

import "math"

// dispatch sends what is queued while there is capacity: first the retries, then the jobs of tenants
// within their bands, then the rest evenly.
func (d *Dispatcher) dispatch() {
	d.dispatchRound++
	d.quotas.Refill(d.now, max(1, d.rate.OfferedRate()/4))
	d.sendRetries()
	if !d.EndpointsUsable() {
		return
	}
	for d.sendNext(true) {
	}
	for d.mayBurst() && d.sendNext(false) {
		d.quotas.ConsumeBurstToken()
	}
}

// mayBurst reports whether a job may be sent past its tenant's bands.
func (d *Dispatcher) mayBurst() bool {
	return (d.rate.Unthrottled() || d.quotas.HasBurstToken()) &&
		d.occupiedSlots() < d.capacity.startWindow.Slots()
}

// maxUnstarted is how many of our jobs that cannot be moved may wait at the workers, so
// that all dispatchers together keep the queues there short: about one at each.
func (d *Dispatcher) maxUnstarted() int { return max(2, len(d.liveWorkers)/d.cfg.Dispatchers) }

// sendRetries sends the jobs that were sent before, each if a worker is found for it.
func (d *Dispatcher) sendRetries() {
	kept := d.jobs.retryQueue[:0]
	for _, j := range d.jobs.retryQueue {
		if j.ended {
			continue
		}
		w := d.pickWorker(j)
		if w == nil {
			if j.inFlight == 0 && d.now+2*d.tickInterval >= j.req.Deadline {
				d.abandon(j, 0)
			} else {
				kept = append(kept, j)
			}
			continue
		}
		j.retryQueued = false
		d.cancelAttempts(j)
		d.send(j, w)
	}
	clear(d.jobs.retryQueue[len(kept):])
	d.jobs.retryQueue = kept
}

// sendNext sends one job: within the bands, of the tenant furthest under them;
// past the bands, of the tenant that had fewest such jobs.
func (d *Dispatcher) sendNext(withinBands bool) bool {
	for {
		var best *tenant
		highest := math.Inf(-1)
		for i := range d.tenants {
			t := &d.tenants[i]
			if !t.hasQueued() || t.blockedRound == d.dispatchRound || withinBands && !t.quota.HasToken() {
				continue // before it is ranked: most tenants have no queued job
			}
			rank := -t.quota.ExcessSends()
			if withinBands {
				rank = t.quota.FillLevel()
			}
			if rank > highest {
				best, highest = t, rank
			}
		}
		if best == nil {
			return false
		}
		if d.sendMostUrgent(best) {
			if withinBands {
				best.quota.ConsumeToken()
			} else {
				best.quota.RecordExcessSend()
			}
			return true
		}
		best.blockedRound = d.dispatchRound
	}
}

// urgency orders the jobs of one tenant: by the fraction of its queue time that a job has spent, over the
// fraction of its class lately sent. A tenant's quota is divided among its classes: one class must not use
// it up because its jobs may wait longest.
func (t *tenant) urgency(d *Dispatcher, j *job) float64 {
	sentFraction := t.quota.SentFraction(j.req.Class)
	if t.quota.ExceedsQuota() {
		return 1 / sentFraction
	}
	return float64(d.now-j.firstAttemptAt+1) / float64(d.maxQueueTime(j)) / (sentFraction * sentFraction)
}

// sendFrom sends the tenant's most urgent job for which a worker is found: of each class the oldest, or,
// where most must be shed, the newest, which has its whole time before it.
func (d *Dispatcher) sendMostUrgent(t *tenant) bool {
	for {
		var best *job
		highestUrgency := -1.0
		for k := range t.queues {
			q := &t.queues[k]
			if len(q.jobs) == 0 || q.blockedRound == d.dispatchRound {
				continue
			}
			j := nextInQueue(q.jobs, d.newestFirst(t, q.jobs), d.dispatchRound)
			if j == nil {
				continue
			}
			if urgency := t.urgency(d, j); urgency > highestUrgency {
				best, highestUrgency = j, urgency
			}
		}
		if best == nil {
			return false
		}
		if w := d.pickWorker(best); w != nil {
			t.dequeue(best)
			t.quota.RecordSend(best.req.Class)
			d.send(best, w)
			return true
		}
		if best.blockedRound = d.dispatchRound; best.req.AllowedWorkers == nil {
			t.queues[best.req.Class].blockedRound = d.dispatchRound
		} // others of its class may go to other workers
	}
}
