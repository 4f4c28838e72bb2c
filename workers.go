package foxlift

// What is known of workers, and where they stand. Nothing is decided here.

import (
	"math"

	"github.com/vatu-meals/foxlift/internal/decision/affinity"
	"github.com/vatu-meals/foxlift/internal/decision/capacity"
	"github.com/vatu-meals/foxlift/internal/decision/gossip"
	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// A worker is what this dispatcher knows of one.
type worker struct {
	id               string
	number           int64 // in the order first heard of
	zone, kind, cell int
	state            WorkerState
	lastSeenEvent    int64 // number of the last list event that named it
	lost             bool  // went without a drain, and is not back and warm
	removedAt        int64 // when the list last named it otherwise than gone
	hash             uint64

	usedSlots        float64      // slots of our jobs there, and of the host's others
	externalSlots    float64      // of these, what others sent
	peerUsage        gossip.Usage // and what peers say that their jobs hold there
	usedMemory       float64      // that all these jobs need
	report           capacity.LoadReport
	dirty            bool // peers have not been told of the last change
	inFlightJobs     int
	limit            capacity.Limit
	level, position  int // place in Dispatcher.room; level -1: gets nothing now
	overdue          int // jobs that it should have started
	outlier          health.Outlier
	warmup           health.Warmup
	acceptedAt       int64                 // when the last attempt that it accepted was sent
	accepting        bool                  // it is in Dispatcher.accepting
	latencyRatio     float64               // its running times over the class medians
	connections      int                   // connections thought open
	connectionUsedAt int64                 // last use of a connection
	cachedKeys       affinity.CachedKeys   // of our last jobs there
	affinity         affinity.Registration // in Dispatcher.affinity

	indexEntry // where it stands in Dispatcher.fleetIndex
}

// indexed is what fleetIndex notes of a worker.
type indexEntry struct {
	pending, live, inRemoved, inLost bool // in the slice of that name
	forgotten                        bool // no more in Dispatcher.workers
}

// setLevel puts a worker into another of the room lists, or, for a negative level,
// in none.
func (d *Dispatcher) setLevel(w *worker, level int) {
	k := w.kind + 1
	if k >= len(d.freeWorkers) {
		k = 0
	}
	if w.level >= 0 {
		ws := d.freeWorkers[k][w.level]
		last := ws[len(ws)-1]
		ws[w.position] = last
		last.position = w.position
		d.freeWorkers[k][w.level] = ws[:len(ws)-1]
	}
	w.level = level
	if level >= 0 {
		for len(d.freeWorkers[k]) <= level {
			d.freeWorkers[k] = append(d.freeWorkers[k], nil)
		}
		d.freeLevels = max(d.freeLevels, level+1)
		w.position = len(d.freeWorkers[k][level])
		d.freeWorkers[k][level] = append(d.freeWorkers[k][level], w)
	}
}

// A workerView is the workers of one level, of one kind or of all. It is valid until the next call of
// freeAt, and until a worker moves.
type workerView struct {
	parts [][]*worker // by kind
	size  int
}

// freeAt returns the workers of one level, and of one kind if it is not negative.
func (d *Dispatcher) freeAt(kind, level int) (v workerView) {
	from, to := kind+1, kind+2
	if kind < 0 {
		from, to = 0, len(d.freeWorkers)
	}
	d.viewBuffer = d.viewBuffer[:0]
	for _, levels := range d.freeWorkers[from:to] {
		if level < len(levels) {
			d.viewBuffer = append(d.viewBuffer, levels[level])
			v.size += len(levels[level])
		}
	}
	v.parts = d.viewBuffer
	return v
}

// at returns the worker of an index under size.
func (v workerView) at(i int) *worker {
	for _, part := range v.parts {
		if i < len(part) {
			return part[i]
		}
		i -= len(part)
	}
	return nil
}

// setState notes what the list says of a worker.
func (w *worker) setState(s WorkerState, now int64) {
	w.lost = w.lost || w.state == Live && s == Removed
	if w.state != Removed {
		w.removedAt = now
	}
	w.state = s
}

// recordLoad keeps a worker's load report.
func (d *Dispatcher) recordLoad(w *worker, e *Event) {
	d.reports.Record(&w.report, e.Load, d.now)
	d.markReported(w)
}

// heard makes a worker the last that was heard of: pick looks at it whatever it samples.
func (d *Dispatcher) markReported(w *worker) {
	d.recentlyReported[d.nextReported] = w
	d.nextReported = (d.nextReported + 1) % len(d.recentlyReported)
}

// memoryCapacity is the memory that a worker has for jobs.
func (d *Dispatcher) memoryCapacity(w *worker) float64 {
	if d.cfg.SlotMemory == 0 || w.report.TotalSlots() == 0 {
		return math.Inf(1)
	}
	return w.report.TotalSlots() * d.cfg.SlotMemory
}

// Ejected returns how many live workers get nothing, or one trial job at most, since attempts
// there failed or were not started in time. Workers that are only full do not count.
func (d *Dispatcher) Ejected() int {
	n := 0
	for _, w := range d.workerOrder {
		if w.state == Live && (w.outlier.OnTrial() || w.overdue > 0) {
			n++
		}
	}
	return n
}
