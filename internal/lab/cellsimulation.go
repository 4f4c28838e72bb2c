package lab

import (
	"fmt"
	"math/rand/v2"

	"github.com/vatu-meals/foxlift"
)

// second is a second of virtual time.
const second = int64(1e9)

// Classes of the simulated cell: the index is foxlift.Request.Class.
var (
	simulatedServiceTime = [2]int64{second * 3 / 10, second * 3 / 2}
	simulatedDeadline    = [2]int64{5 * second, 25 * second}
	simulatedObjective   = [2]int64{
		second/2 + simulatedServiceTime[0]*5/2,
		2*second + 2*simulatedServiceTime[1],
	}
	simulatedFraction = [2]float64{0.72, 0.28} // of the jobs
)

const (
	simulatedWorkerSlots = 2
	simulatedWorkerQueue = 4 // jobs that wait at a worker; it rejects further ones
	minJobsForUpdate     = 6 // finished jobs of a class in a second from which its loop learns
)

// A cellResult says how one cell fared, as fractions.
type cellResult struct {
	updateFraction float64 // of the class-seconds: enough jobs finished
	inTimeFraction float64 // of the jobs: served within the objective
}

// A simulatedWorker is a worker's free slots and queue.
type simulatedWorker struct{ free, queued int }

// A simulatedJob is a job from its arrival on.
type simulatedJob struct {
	class     int
	arrivedAt int64
	attempts  int
	done      bool // answered
}

// A cellSimulation runs one dispatcher among simulated workers and clients in virtual time.
type cellSimulation struct {
	eventQueue
	dispatcher *foxlift.Dispatcher
	rng        *rand.Rand
	rate       float64         // jobs a second that arrive
	pending    []foxlift.Event // for the dispatcher's next step
	workers    map[string]*simulatedWorker
	jobs       map[uint64]*simulatedJob

	arrived, servedInTime int
	finished              [2]int // jobs of each class in the current second
	updateSeconds         int    // class-seconds with enough finished jobs
}

// newCellSimulation makes a cell whose workers together can do rate/load jobs a second, of two
// classes of which the second takes five times as long.
func newCellSimulation(rate, load float64, seed uint64) (*cellSimulation, error) {
	dispatcher, err := foxlift.New(simulatedConfig(rate), seed)
	if err != nil {
		return nil, err
	}
	s := &cellSimulation{
		dispatcher: dispatcher,
		rng:        rand.New(rand.NewPCG(seed, 11)),
		rate:       rate,
		workers:    map[string]*simulatedWorker{},
		jobs:       map[uint64]*simulatedJob{},
	}
	s.addWorkers(load)
	s.schedule(0, s.arrive)
	s.schedule(second, s.countSecond)
	return s, nil
}

// simulatedConfig is the configuration of a dispatcher whose only tenant has the whole rate as quota.
func simulatedConfig(rate float64) foxlift.Config {
	return foxlift.Config{
		Classes: []foxlift.Class{
			{
				Name:             "reading",
				LatencyObjective: second / 2,
				ObjectiveStretch: 2.5,
				Deadline:         simulatedDeadline[0],
				Kind:             -1,
			},
			{
				Name:             "ratify",
				LatencyObjective: 2 * second,
				ObjectiveStretch: 2,
				Deadline:         simulatedDeadline[1],
				Kind:             -1,
				Effect:           foxlift.AtMostOnce,
			},
		},
		Tenants:       []foxlift.Tenant{{Name: "t", Quota: rate}},
		Dispatchers:   2,
		MayCancel:     true,
		MaxRetryAfter: 2 * second,
		MayRetryAfter: true,
		MaxAttempts:   3,
		StartNotes:    true,
	}
}

// addWorkers tells the dispatcher of as many workers as bear the rate at a load.
func (s *cellSimulation) addWorkers(load float64) {
	meanServiceTime := 0.0
	for class, fraction := range simulatedFraction {
		meanServiceTime += fraction * float64(simulatedServiceTime[class])
	}
	slots := max(simulatedWorkerSlots, int(s.rate/load*meanServiceTime/float64(second)+0.5))
	var endpoints []foxlift.Worker
	for i := range (slots + 1) / simulatedWorkerSlots {
		id := fmt.Sprint("n", i)
		s.workers[id] = &simulatedWorker{free: min(simulatedWorkerSlots, slots-simulatedWorkerSlots*i)}
		endpoints = append(endpoints, foxlift.Worker{ID: id, Kind: -1})
	}
	s.pending = append(s.pending, foxlift.Event{
		Kind:           foxlift.EventEndpoints,
		EndpointUpdate: foxlift.EndpointsCached,
		Workers:        endpoints,
	})
}

// run simulates so many seconds.
func (s *cellSimulation) run(seconds int) cellResult {
	for s.advance(int64(seconds) * second) {
		s.step()
	}
	return cellResult{
		updateFraction: float64(s.updateSeconds) / float64(len(s.finished)*seconds),
		inTimeFraction: float64(s.servedInTime) / float64(s.arrived),
	}
}

// arrive is the arrival of a job; it schedules the next one.
func (s *cellSimulation) arrive() {
	class := 0
	if s.rng.Float64() >= simulatedFraction[0] {
		class = 1
	}
	s.arrived++
	id := uint64(s.arrived)
	s.jobs[id] = &simulatedJob{class: class, arrivedAt: s.now}
	s.pending = append(s.pending, foxlift.Event{
		Kind:    foxlift.EventRequest,
		Request: foxlift.Request{ID: id, Class: class, Deadline: s.now + simulatedDeadline[class], Slots: 1},
	})
	s.schedule(s.now+int64(s.rng.ExpFloat64()/s.rate*float64(second)), s.arrive)
}

// countSecond counts the classes of which enough jobs finished in the past second.
func (s *cellSimulation) countSecond() {
	for class := range s.finished {
		if s.finished[class] >= minJobsForUpdate {
			s.updateSeconds++
		}
		s.finished[class] = 0
	}
	s.schedule(s.now+second, s.countSecond)
}

// step has the dispatcher take in what is pending, until nothing new comes of it.
func (s *cellSimulation) step() {
	for {
		events := s.pending
		s.pending = nil
		for _, action := range s.dispatcher.Step(s.now, events) {
			switch action.Kind {
			case foxlift.ActionSend:
				s.send(action)
			case foxlift.ActionShed, foxlift.ActionFail:
				s.jobs[action.ID].done = true
			case foxlift.ActionTimer:
				s.schedule(max(action.At, s.now), func() {})
			}
		}
		if len(s.pending) == 0 {
			return
		}
	}
}

// A simulatedAttempt is one run of a job at a worker.
type simulatedAttempt struct {
	*cellSimulation
	id       uint64
	number   int
	workerID string
	job      *simulatedJob
	worker   *simulatedWorker
}

// send queues an attempt at its worker, or has the worker reject it.
func (s *cellSimulation) send(action foxlift.Action) {
	job, worker := s.jobs[action.ID], s.workers[action.Worker]
	attempt := &simulatedAttempt{s, action.ID, job.attempts, action.Worker, job, worker}
	job.attempts++
	if worker.free == 0 && worker.queued >= simulatedWorkerQueue {
		s.schedule(s.now, func() { attempt.report(foxlift.EventOutcome, foxlift.Saturated, job.done) })
		return
	}
	worker.queued++
	s.schedule(s.now+second/1000, attempt.start)
}

// start runs the attempt if a slot is free, and otherwise tries again soon: the order in a
// worker's queue does not matter here.
func (a *simulatedAttempt) start() {
	if a.worker.free == 0 {
		a.schedule(a.now+second/100, a.start)
		return
	}
	a.worker.queued--
	a.worker.free--
	a.report(foxlift.EventStarted, 0, false)
	serviceTime := float64(simulatedServiceTime[a.job.class]) * (0.5 + a.rng.Float64())
	a.schedule(a.now+int64(serviceTime), a.finish)
}

// finish ends the attempt, and with it the job.
func (a *simulatedAttempt) finish() {
	a.worker.free++
	a.finished[a.job.class]++
	if !a.job.done && a.now-a.job.arrivedAt <= simulatedObjective[a.job.class] {
		a.servedInTime++
	}
	a.job.done = true
	a.report(foxlift.EventOutcome, foxlift.Served, true)
}

// report brings an event of the attempt to the dispatcher.
func (a *simulatedAttempt) report(kind foxlift.EventKind, code foxlift.Code, ended bool) {
	a.pending = append(a.pending, foxlift.Event{
		Kind:    kind,
		ID:      a.id,
		Attempt: a.number,
		Worker:  a.workerID,
		Code:    code,
		Ended:   ended,
	})
}
