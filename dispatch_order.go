package foxlift

// The order of dispatch: which job of which tenant is sent next while there is capacity.

import "math"

// dispatch refills the token buckets and sends queued jobs for which a worker is found: first the retries,
// then the jobs of tenants within their bands, then the remaining jobs, evenly among the tenants, while
// mayBurst allows. Burst tokens are at most a quarter of a second's arrivals, but at least 1.
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

// mayBurst reports whether a job may be sent beyond its tenant's bands: there is a burst token or no
// throttling, and the slots in flight are below the start window.
func (d *Dispatcher) mayBurst() bool {
	return (d.rate.Unthrottled() || d.quotas.HasBurstToken()) &&
		d.occupiedSlots() < d.capacity.startWindow.Slots()
}

// maxUnstarted returns the maximum number of this dispatcher's attempts of AtMostOnce jobs, which cannot be
// moved, that may wait for their start; at least 2. It gives all dispatchers together about one such attempt
// per worker, which keeps the queues at the workers short.
func (d *Dispatcher) maxUnstarted() int { return max(2, len(d.liveWorkers)/d.cfg.Dispatchers) }

// sendRetries sends the jobs of the retry queue for which a worker is found, and cancels their
// attempts in flight. A job without a worker stays in the queue, but is abandoned if it has no attempt in
// flight and its deadline is at most two ticks away. Jobs that have ended are dropped.
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

// sendNext sends one job and reports whether it did. Within the bands the job is of the tenant with the
// fullest token bucket, which loses a token; beyond them it is of the tenant with the fewest recent sends
// beyond its bands. Tenants without a worker for any of their jobs are passed over.
func (d *Dispatcher) sendNext(withinBands bool) bool {
	for {
		var best *tenant
		highest := math.Inf(-1)
		for i := range d.tenants {
			t := &d.tenants[i]
			if !t.hasQueued() || t.blockedRound == d.dispatchRound || withinBands && !t.quota.HasToken() {
				continue // skipped before the ranking, as most tenants have no queued job
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

// urgency ranks the jobs of one tenant; the highest is sent first. It grows with the fraction of its maximum
// queue time that the job has waited, and falls with the fraction of its class's jobs that were recently
// sent. The second term divides the tenant's quota among its classes, so that a class whose jobs may wait
// longest does not use up the quota. For a tenant over its quota only the second term counts.
func (t *tenant) urgency(d *Dispatcher, j *job) float64 {
	sentFraction := t.quota.SentFraction(j.req.Class)
	if t.quota.ExceedsQuota() {
		return 1 / sentFraction
	}
	return float64(d.now-j.firstAttemptAt+1) / float64(d.maxQueueTime(j)) / (sentFraction * sentFraction)
}

// sendMostUrgent sends the tenant's most urgent job for which a worker is found, and reports whether it did.
// The candidate of each class is its oldest job, or the newest one where newestFirst holds.
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
		} // if only this job is confined to certain workers, other jobs of its class may still be sent
	}
}
