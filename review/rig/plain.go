package rig

import (
	"io"
	"net"
	"sync"
	"time"
)

// A PlainWorker is a sound worker: it has slots and a waiting room, starts jobs in order, answers a job when it starts
// it, turns it away at once if the room is full, and drops a waiting job whose connection has ended.
type PlainWorker struct {
	Name   string
	Record *Record
	Time   func(class string) time.Duration
	Runs   *Runs
	Quiet  bool // no line in the record for each job

	slots, room chan struct{}
}

// Runs holds at which workers each job has run.
type Runs struct {
	mu sync.Mutex
	by map[string][]string
}

// NewRuns returns an empty set.
func NewRuns() *Runs { return &Runs{by: map[string][]string{}} }

// Add records that a worker has started a job.
func (r *Runs) Add(id, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], worker)
}

// All returns the workers of each job.
func (r *Runs) All() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]string, len(r.by))
	for id, by := range r.by {
		out[id] = by
	}
	return out
}

// NewPlainWorker returns a worker with so many slots and so much room beside them.
func NewPlainWorker(name string, slots, room int, r *Record, runs *Runs, t func(string) time.Duration) *PlainWorker {
	return &PlainWorker{
		Name: name, Record: r, Time: t, Runs: runs,
		slots: make(chan struct{}, slots), room: make(chan struct{}, slots+room),
	}
}

// Handle answers one job.
func (w *PlainWorker) Handle(c net.Conn, r *Request) bool {
	select {
	case w.room <- struct{}{}:
	default:
		if !w.Quiet {
			w.Record.Note("%s: turns %s away", w.Name, r.ID)
		}
		_, err := io.WriteString(c, TurnedAway)
		return err == nil
	}
	defer func() { <-w.room }()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	if !WriteHead(c) || !WriteState(c, false, r.ID, w.Name, "started", "") {
		return false
	}
	w.Runs.Add(r.ID, w.Name)
	if !w.Quiet {
		w.Record.Note("%s: runs %s (%s)", w.Name, r.ID, r.Class)
	}
	time.Sleep(w.Time(r.Class))
	return WriteState(c, true, r.ID, w.Name, "done", "result of "+r.ID)
}
