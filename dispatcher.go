package foxlift

// Dispatcher.Step and its phases: it handles the events, runs the periodic work that is due, and dispatches
// jobs. Each kind of decision has its own file here or its own package under internal/decision;
// deploy/balancer.toml lists them under policy. The interface is in api.go, the state in state.go.

const second = int64(1e9)

// fewDispatchersMax is the maximum number of dispatchers at which each sees enough jobs of its own to
// estimate the state of the fleet. With more dispatchers each sees too few jobs, and what is harmless when
// one dispatcher does it is harmful when all do it at once: see docs/design/fleet.md.
const fewDispatchersMax = 4.0

// manyDispatchers reports whether more than fewDispatchersMax dispatchers share the fleet.
func (d *Dispatcher) manyDispatchers() bool { return d.fleetScale > 1 }

// Step handles the events since the last step and returns the actions that the host must execute. A time
// before that of the last step counts as the time of the last step. The actions are valid until the next
// call of Step.
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
	tick := d.now >= d.timing.nextTickAt
	if tick {
		d.onTick()
	}
	d.pollEndpoints()
	d.dispatch()
	if tick {
		d.expireQueued(true) // not before a worker was looked for
	}
	d.shedUrgent()
	d.gossipChanges()
	return d.actions
}

// handle passes an event to the function for its kind. Kinds without a function, such as EventTimer, need no
// work of their own: Step runs what is due.
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

// start initializes the times that depend on the clock, at the first step.
func (d *Dispatcher) start() {
	d.timing.startedAt, d.timing.nextControlAt = d.now, d.now+second
	d.quotas.Start(d.now)
	d.endpoints.lease.Start(d.now)
	d.endpoints.poll.Start(d.now, d.rng)
}

// onTick runs the periodic work and sets the timer of the next tick.
func (d *Dispatcher) onTick() {
	if d.now >= d.timing.nextControlAt {
		d.runControlLoops()
		d.timing.nextControlAt = max(d.timing.nextControlAt+second, d.now+second/2)
	}
	d.checkOverdue()
	d.finishHealthChecks(func(j *job) bool { return d.now-j.arrivedAt >= d.tickInterval })
	d.expireQueued(false)
	d.updatePending()
	d.timing.nextTickAt = d.now + d.tickInterval
	d.actions = append(d.actions, Action{Kind: ActionTimer, At: d.timing.nextTickAt, Token: 1})
}
