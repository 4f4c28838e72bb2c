package foxlift_test

import (
	"slices"

	"github.com/vatu-meals/foxlift"
)

// A member is a dispatcher that is recorded, with its jobs.
type member struct {
	host        *fleetHost
	index       int // in the recording, and its Index
	config      foxlift.Config
	dispatcher  *foxlift.Dispatcher
	incarnation int // counts the dispatchers that were here
	subscribed  bool
	inbox       []foxlift.Event
	jobs        map[uint64]*simJob
	inFlight    []*simAttempt // whose outcomes are open, also of an earlier incarnation
}

// A simJob is a job of a client that waits for one answer.
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

// begin starts a dispatcher with the list as last known; one that was there before is forgotten.
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

// takeover starts a new dispatcher that goes on from what the old one has learned. The old one's
// attempts count as external usage until they have ended.
func (m *member) takeover() {
	snapshot := m.host.record.snapshot(m.index, m.dispatcher)
	m.start()
	m.host.record.restore(m.index, m.dispatcher, snapshot)
	m.host.record.inspect(m.index, m.dispatcher)
	m.host.scheduleAfter(second, func() { m.receiveEndpoints(foxlift.EndpointsDelta, m.endpoints()) })
}

// list is the list with the slots of an earlier incarnation's attempts.
func (m *member) endpoints() []foxlift.Worker {
	list := m.host.entries()
	for _, a := range m.inFlight {
		if a.incarnation != m.incarnation {
			list[a.worker.index].ExternalSlots += max(1, a.job.request.Slots)
		}
	}
	return list
}

// receive passes an event with the next step.
func (m *member) receive(e foxlift.Event) { m.inbox = append(m.inbox, e) }

// receiveEndpoints passes news of the list, or the failure to get any.
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

// accept brings a client's job.
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

// leave lets a client go away that has no answer yet.
func (m *member) disconnect(id uint64) {
	if j := m.jobs[id]; j != nil && !j.answered {
		j.answered = true
		m.receive(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: id})
	}
}

// expire ends the attempts that are still out at a job's deadline.
func (m *member) expire(j *simJob) {
	for _, a := range j.attempts {
		a.report(foxlift.DeadlineExceeded)
	}
}

// step passes what has been heard and carries out what the dispatcher decides.
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

// answerSubscription answers the dispatcher's call to discovery.
func (m *member) answerSubscription() {
	m.subscribed = true
	m.receiveEndpoints(foxlift.EndpointsConfirmed, nil)
	if m.subscribed {
		m.receiveEndpoints(foxlift.EndpointsComplete, m.endpoints())
	}
}

// answer takes a final answer. Some refused clients try again with the time that they have left.
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

// broadcast sends a message to the other dispatchers; some are lost, doubled, late or spoilt.
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
