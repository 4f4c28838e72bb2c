package lab

import (
	"fmt"
	"math/rand/v2"

	"github.com/vatu-meals/foxlift"
)

// second is a second of virtual time, in nanoseconds.
const second = int64(1e9)

// The classes of the simulated cell, indexed by foxlift.Request.Class. Times are in nanoseconds.
var (
	simulatedServiceTime = [2]int64{second * 3 / 10, second * 3 / 2}
	simulatedDeadline    = [2]int64{5 * second, 25 * second}
	simulatedObjective   = [2]int64{
		second/2 + simulatedServiceTime[0]*5/2,
		2*second + 2*simulatedServiceTime[1],
	}
	simulatedFraction = [2]float64{0.72, 0.28} // of all jobs
)

const (
	simulatedWorkerSlots = 2
	simulatedWorkerQueue = 4 // most jobs that wait at a worker; it rejects further ones

	// minJobsForUpdate is the number of finished jobs of a class in a second that is enough for its latency loop to
	// run. It equals minSamples of package admission. After fewer jobs the loop keeps the samples and runs in a later
	// second; the simulation counts only seconds that have enough jobs of their own.
	minJobsForUpdate = 6
)

// A cellResult is the result of one simulated cell.
type cellResult struct {
	updateFraction float64 // fraction of the class-seconds with at least minJobsForUpdate finished jobs
	inTimeFraction float64 // fraction of the arrived jobs that were served within the latency objective
}

// A simulatedWorker counts a worker's free slots and its queued jobs.
type simulatedWorker struct{ free, queued int }

// A simulatedJob is a job that has arrived.
type simulatedJob struct {
	class     int
	arrivedAt int64
	attempts  int
	done      bool // answered to the client
}

// A cellSimulation runs one dispatcher with simulated workers and clients in virtual time.
type cellSimulation struct {
	eventQueue
	dispatcher *foxlift.Dispatcher
	rng        *rand.Rand
	rate       float64         // mean arrival rate in jobs a second
	pending    []foxlift.Event // for the dispatcher's next step
	workers    map[string]*simulatedWorker
	jobs       map[uint64]*simulatedJob

	arrived, servedInTime int
	finished              [2]int // jobs of each class in the current second
	updateSeconds         int    // class-seconds with at least minJobsForUpdate finished jobs
}

// newCellSimulation returns a cell whose workers have a capacity of rate/load jobs a second. Jobs of the second class
// take five times as long as those of the first.
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

// simulatedConfig returns the configuration of the first of two dispatchers, of which only this one is simulated. Its
// one tenant has a quota of rate jobs a second over both dispatchers.
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

// addWorkers creates the workers that run the rate at a utilization of load, and reports them to the dispatcher.
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

// run simulates a number of seconds and returns the result.
func (s *cellSimulation) run(seconds int) cellResult {
	for s.advance(int64(seconds) * second) {
		s.step()
	}
	return cellResult{
		updateFraction: float64(s.updateSeconds) / float64(len(s.finished)*seconds),
		inTimeFraction: float64(s.servedInTime) / float64(s.arrived),
	}
}

// arrive lets a job of a random class arrive and schedules the next arrival.
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

// countSecond counts the classes with at least minJobsForUpdate finished jobs in the past second.
func (s *cellSimulation) countSecond() {
	for class := range s.finished {
		if s.finished[class] >= minJobsForUpdate {
			s.updateSeconds++
		}
		s.finished[class] = 0
	}
	s.schedule(s.now+second, s.countSecond)
}

// step passes the pending events to the dispatcher and executes its actions, until no event is pending.
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

// A simulatedAttempt is an attempt of a job at a worker.
type simulatedAttempt struct {
	*cellSimulation
	id       uint64
	number   int
	workerID string
	job      *simulatedJob
	worker   *simulatedWorker
}

// send queues an attempt at its worker, or reports that the worker rejected it because its queue is full.
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

// start runs the attempt if its worker has a free slot, and otherwise tries again 10 ms later. The queue is therefore
// not strictly first in, first out, which does not matter here.
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

// finish ends the attempt and the job.
func (a *simulatedAttempt) finish() {
	a.worker.free++
	a.finished[a.job.class]++
	if !a.job.done && a.now-a.job.arrivedAt <= simulatedObjective[a.job.class] {
		a.servedInTime++
	}
	a.job.done = true
	a.report(foxlift.EventOutcome, foxlift.Served, true)
}

// report adds an event of the attempt to the dispatcher's pending events. ended marks that the job has its final
// answer.
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
