package foxlift_test

import (
	"slices"

	"github.com/vatu-meals/foxlift"
)

// A member is a recorded dispatcher with its jobs.
type member struct {
	host        *fleetHost
	index       int // index in the recording, and Config.Index
	config      foxlift.Config
	dispatcher  *foxlift.Dispatcher
	incarnation int // number of dispatchers that have had this index
	subscribed  bool
	inbox       []foxlift.Event
	jobs        map[uint64]*simJob
	inFlight    []*simAttempt // attempts without an outcome, also of earlier incarnations
}

// A simJob is a job whose client waits for one answer.
type simJob struct {
	request  foxlift.Request
	attempts []*simAttempt
	answered bool
}

func newMember(h *fleetHost, index int) *member {
	m := &member{host: h, index: index, config: h.plan.config}
	m.config.Index = index
	m.config.Zone = index % 2
	return m
}

// start starts a new dispatcher with the cached endpoint list. The jobs of its predecessor are dropped.
func (m *member) start() {
	m.incarnation++
	m.subscribed = !m.config.PollEndpoints
	m.inbox, m.jobs = nil, map[uint64]*simJob{}
	if m.incarnation == 1 {
		m.host.record.nextIndex()
	}
	m.dispatcher = m.host.record.start(m.index, m.config, m.host.plan.seed+uint64(1000*m.incarnation+m.index))
	list := m.endpoints()
	m.inbox = []foxlift.Event{{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsCached, Workers: list}}
	m.step()
	m.receiveEndpoints(foxlift.EndpointsConfirmed, nil)
}

// takeover starts a new dispatcher that continues from the snapshot of the old one. The old one's attempts count as
// external usage until they have ended.
func (m *member) takeover() {
	snapshot := m.host.record.snapshot(m.index, m.dispatcher)
	m.start()
	m.host.record.restore(m.index, m.dispatcher, snapshot)
	m.host.record.inspect(m.index, m.dispatcher)
	m.host.scheduleAfter(second, func() { m.receiveEndpoints(foxlift.EndpointsDelta, m.endpoints()) })
}

// endpoints returns the endpoint list, with the slots of earlier incarnations' attempts as external usage.
func (m *member) endpoints() []foxlift.Worker {
	list := m.host.entries()
	for _, a := range m.inFlight {
		if a.incarnation != m.incarnation {
			list[a.worker.index].ExternalSlots += max(1, a.job.request.Slots)
		}
	}
	return list
}

// receive queues an event for the next step.
func (m *member) receive(e foxlift.Event) { m.inbox = append(m.inbox, e) }

// receiveEndpoints queues an update of the endpoint list, or a failed poll while discovery fails.
func (m *member) receiveEndpoints(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	e := foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: kind, Workers: workers}
	switch {
	case kind == foxlift.DiscoveryChanged:
	case m.host.discoveryFailing:
		m.subscribed = false
		if !m.host.failureFixed && m.host.randomBool(0.2) {
			m.host.drawFailure()
		}
		e.EndpointUpdate, e.PollFailure, e.Workers = foxlift.EndpointsPollFailed, m.host.failure, nil
	case !m.subscribed:
		return
	}
	m.receive(e)
}

// accept receives a client's job and schedules its deadline and, for some clients, a disconnect.
func (m *member) accept(r foxlift.Request) {
	m.jobs[r.ID] = &simJob{request: r}
	m.receive(foxlift.Event{Kind: foxlift.EventRequest, Request: r})
	incarnation := m.incarnation
	m.host.scheduleAt(r.Deadline, func() {
		if j := m.jobs[r.ID]; incarnation == m.incarnation && j != nil {
			m.expire(j)
		}
	})
	if m.host.randomBool(m.host.plan.disconnects) {
		m.host.scheduleAfter(m.host.rng.Int64N(second), func() { m.disconnect(r.ID) })
	}
}

// disconnect disconnects a client that has no answer yet.
func (m *member) disconnect(id uint64) {
	if j := m.jobs[id]; j != nil && !j.answered {
		j.answered = true
		m.receive(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: id})
	}
}

// expire ends the attempts that are in flight at a job's deadline.
func (m *member) expire(j *simJob) {
	for _, a := range j.attempts {
		a.report(foxlift.DeadlineExceeded)
	}
}

// step passes the queued events to the dispatcher and performs its actions.
func (m *member) step() {
	events := m.inbox
	m.inbox = nil
	for _, a := range m.host.record.step(m.index, m.dispatcher, m.host.now, events) {
		m.perform(a)
	}
}

func (m *member) perform(a foxlift.Action) {
	h, incarnation := m.host, m.incarnation
	switch a.Kind {
	case foxlift.ActionSend:
		m.send(m.jobs[a.ID], a.Worker)
	case foxlift.ActionShed, foxlift.ActionFail:
		m.handleRejection(m.jobs[a.ID], a)
	case foxlift.ActionCancel:
		attempt := m.jobs[a.ID].attempts[a.Attempt]
		h.scheduleAfter(millisecond, attempt.cancel)
	case foxlift.ActionTimer:
		h.scheduleAt(a.At, func() {
			if incarnation == m.incarnation {
				m.receive(foxlift.Event{Kind: foxlift.EventTimer, Token: a.Token})
			}
		})
	case foxlift.ActionHealthCheck:
		m.checkHealth(h.findWorker(a.Worker))
	case foxlift.ActionMessage:
		m.broadcast(slices.Clone(a.Data))
	case foxlift.ActionWatchEndpoints:
		h.scheduleAfter(h.exponential(20*millisecond), func() {
			if incarnation == m.incarnation {
				m.answerSubscription()
			}
		})
	}
}

// answerSubscription answers the dispatcher's poll of discovery with the complete endpoint list.
func (m *member) answerSubscription() {
	m.subscribed = true
	m.receiveEndpoints(foxlift.EndpointsConfirmed, nil)
	if m.subscribed {
		m.receiveEndpoints(foxlift.EndpointsComplete, m.endpoints())
	}
}

// handleRejection ends a job that was shed or failed. Some clients of shed jobs retry if time remains.
func (m *member) handleRejection(j *simJob, a foxlift.Action) {
	j.answered = true
	if a.Kind == foxlift.ActionFail || m.host.randomBool(0.5) {
		return
	}
	wait := a.RetryAfter + m.host.exponential(100*millisecond)
	if m.host.now+wait >= j.request.Deadline {
		return
	}
	retry := j.request
	retry.ID, retry.ClientRetry = m.host.nextID(), true
	m.host.scheduleAfter(wait, func() { m.accept(retry) })
}

func (m *member) checkHealth(w *simWorker) {
	m.host.scheduleAfter(w.networkDelay(m)*2, func() {
		e := foxlift.Event{Kind: foxlift.EventHealthChecked, Worker: w.entry.ID, Code: foxlift.DeadlineExceeded}
		if w.entry.State != foxlift.Removed && !w.hanging {
			e.Code, e.Took, e.HasLoad, e.Load = foxlift.Served, 2*w.networkDelay(m), true, w.load()
		}
		m.receive(e)
	})
}

// broadcast sends a message to the other members. Some are lost, duplicated, delayed or corrupted.
func (m *member) broadcast(data []byte) {
	for _, peer := range m.host.members {
		if peer == m {
			continue
		}
		copies := 1
		if m.host.randomBool(0.05) {
			copies = m.host.rng.IntN(3)
		}
		for range copies {
			e := foxlift.Event{Kind: foxlift.EventMessage, From: m.index, Data: data}
			if m.host.randomBool(0.01) {
				e.Data = slices.Clone(data)
				e.Data[m.host.rng.IntN(len(data))] ^= byte(1 + m.host.rng.IntN(255))
			}
			m.host.scheduleAfter(m.host.exponential(2*millisecond), func() { peer.receive(e) })
		}
	}
}
