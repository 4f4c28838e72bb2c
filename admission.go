package foxlift

// Admission control: which requests are held, for how long, and which are refused.

func (d *Dispatcher) accept(r *Request) {
	if r.Class < 0 || r.Class >= len(d.classes) || d.jobs[r.ID] != nil {
		return // the host broke the contract: there is nothing sensible to do
	}
	c := &d.classes[r.Class]
	j := &job{id: r.ID, class: c, tenant: d.tenantOf(r.Tenant), req: *r, came: d.now - r.Waited}
	if j.req.Slots <= 0 {
		j.req.Slots = 1
	}
	size := c.median
	if r.Size > 0 {
		size = r.Size
	}
	j.wanted = c.Aim + int64(c.Stretch*float64(size))
	// A client's next try brings what is left of its patience: the job is as old as
	// the first. In time counts from there, and what comes too late for that is
	// worth nothing: where work is short it must not take the place of the rest.
	c.patience = max(c.patience, r.Deadline-j.came)
	j.born = r.Deadline - c.patience
	d.jobs[r.ID] = j
	d.keys.add(r.Key)
	d.arrived++
	j.tenant.arrived++
	j.tenant.classes[r.Class].came++
	late := d.now-j.born >= max(d.holdLimit(j), 2*d.tick) && d.busy() >= d.window/2
	if late || r.Deadline-d.now <= 2*d.tick {
		d.urgent = append(d.urgent, j)
	} else if d.scout(j) {
		return
	}
	if !late {
		d.hold(j)
	}
}

// answerUrgent refuses what came too late, and what has found no worker at once and
// has no time to wait for the next tick: a client's last try may come just before
// its deadline, and would get no answer at all.
func (d *Dispatcher) answerUrgent() {
	for _, j := range d.urgent {
		if len(j.attempts) == 0 {
			d.giveUp(j, d.cfg.MaxRetryAfter)
		}
	}
	clear(d.urgent)
	d.urgent = d.urgent[:0]
}

// How long a few dispatchers hold jobs that do not tell each other of theirs. What each holds is a large
// part of the fleet's work, and a job sent with time for the median run is late at every worker that
// has others' jobs.
const (
	runsLeft   = 2 // median runs for which there is time when a job has been held for longest; 1 elsewhere
	overHold   = 8 // part of its aim that a job of a tenant over its share is held; 2 elsewhere
	newestFrom = 3 // jobs of one class held for a tenant, of which the newest goes first
)

// unaware says that this is one of a few dispatchers, and that it does not know of the others' jobs.
func (d *Dispatcher) unaware() bool { return !d.largeFleet() && !d.knows() }

// holdLimit is how old a job may become that is held. That of a tenant over its
// share is told early: what it sends past the share is nearly worthless, and a
// queue of it would delay the rest.
func (d *Dispatcher) holdLimit(j *job) int64 {
	part, runs := int64(2), int64(1)
	if d.unaware() {
		part, runs = overHold, runsLeft
	}
	if j.tenant.over() {
		return max(1, j.class.Aim/part)
	}
	return max(1, d.timely(j)-runs*j.class.median-int64(d.starts.avg+2*d.starts.dev))
}

// newestFirst says that of a tenant's queue the newest job goes first, which has its whole time
// before it: most must be refused, or more wait than can all be in time.
func (d *Dispatcher) newestFirst(t *tenant, q []*job) bool {
	return t.over() || d.unaware() && len(q) >= newestFrom
}

// timely is the time in which a job without a hint is surely in time. The median that
// stands for its own work has fetches and slow machines in it: what is wanted of a light job is
// less, and many dispatchers have no queue to spare for those that fail it.
func (d *Dispatcher) timely(j *job) int64 {
	if !d.largeFleet() || j.req.Size > 0 {
		return j.wanted
	}
	return j.class.Aim + int64(j.class.Stretch*float64(j.class.quick))
}

// comeBack is when a client should try again that was refused for want of room.
func (d *Dispatcher) comeBack() int64 {
	return d.cfg.MaxRetryAfter/2 + d.rng.Int64N(d.cfg.MaxRetryAfter/2+1)
}

// expireHeld refuses jobs that have waited too long to be in time.
func (d *Dispatcher) expireHeld() {
	for i := range d.tenants {
		t := &d.tenants[i]
		for k := range t.queues {
			for n := 0; n < len(t.queues[k]); {
				j := t.queues[k][n]
				if d.now-j.born < d.holdLimit(j) && d.now+2*d.tick < j.req.Deadline {
					n++
					continue
				}
				d.giveUp(j, d.comeBack())
			}
		}
	}
}
