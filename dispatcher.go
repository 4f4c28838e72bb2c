package foxlift

// The step of the decision module: it takes the events in, then looks at what time alone changes,
// then dispatches. Each other kind of decision has a file or a package under internal/decision of its
// own; deploy/balancer.toml lists them under policy. The interface is in api.go, the state in state.go.

const second = int64(1e9)

// fewDispatchersMax is the most dispatchers that learn enough from their own jobs. What each of many
// does alone is harmful where all do it, and each sees little: see docs/design/fleet.md.
const fewDispatchersMax = 4.0

// manyDispatchers says that more dispatchers share the fleet than learn enough from their own jobs.
func (d *Dispatcher) manyDispatchers() bool { return d.fleetScale > 1 }

// Step takes the events since the last step and returns what to do. The time
// must not go back (an earlier one counts as the last). The actions are valid
// until the next Step.
func (d *Dispatcher) Step(now int64, events []Event) []Action {
	d.actions = d.actions[:0]
	d.now = max(d.now, now)
	if d.timing.startedAt < 0 {
		d.now = now
		d.start()
	}
	for i := range events {
		d.handle(&events[i])
	}
	if d.now >= d.timing.nextTickAt {
		d.onTick()
	}
	d.pollEndpoints()
	d.dispatch()
	d.shedUrgent()
	d.gossipChanges()
	return d.actions
}

// handle takes an event in.
func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case EventRequest:
		d.onRequest(&e.Request)
	case EventEndpoints:
		d.onEndpoints(e)
	case EventStarted:
		d.onStarted(e)
	case EventOutcome:
		d.onOutcome(e)
	case EventClientDisconnected:
		if j := d.jobs.byID[e.ID]; j != nil && !j.ended {
			d.finish(j)
		}
	case EventHealthChecked:
		d.onHealthChecked(e)
	case EventMessage:
		d.onMessage(e.From, e.Data)
	case EventQuotas:
		d.onQuotas(e.Quotas)
	}
}

// start begins the clock, at the first step.
func (d *Dispatcher) start() {
	d.timing.startedAt, d.timing.nextControlAt = d.now, d.now+second
	d.quotas.Start(d.now)
	d.endpoints.lease.Start(d.now)
	d.endpoints.poll.Start(d.now, d.rng)
}

// onTick looks after all that depends on time alone, and sets the next timer.
func (d *Dispatcher) onTick() {
	if d.now >= d.timing.nextControlAt {
		d.runControlLoops()
		d.timing.nextControlAt = max(d.timing.nextControlAt+second, d.now+second/2)
	}
	d.checkOverdue()
	d.finishHealthChecks(func(j *job) bool { return d.now-j.arrivedAt >= d.tickInterval })
	d.expireQueued()
	d.updatePending()
	d.timing.nextTickAt = d.now + d.tickInterval
	d.actions = append(d.actions, Action{Kind: ActionTimer, At: d.timing.nextTickAt, Token: 1})
}
