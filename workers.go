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
	id     string
	number int64 // in the order first heard of
	hash   uint64

	endpoint
	usage
	connections connections

	level, position int // place in Dispatcher.free; level -1: gets nothing now
	overdue         int // jobs that it should have started

	limit        capacity.Limit
	report       capacity.LoadReport
	outlier      health.Outlier
	warmup       health.Warmup
	latencyRatio float64 // its running times over the class medians
	acceptedAt   int64   // when the last attempt that it accepted was sent
	accepting    bool    // it is in endpointState.accepting

	cachedKeys affinity.CachedKeys   // of our last jobs there
	affinity   affinity.Registration // in affinityState.index
	indexEntry                       // where it stands in Dispatcher.fleetIndex
}

// An endpoint is what the endpoint list says of a worker.
type endpoint struct {
	zone, kind, cell int
	state            WorkerState
	lastListEvent    int64 // number of the last list event that named it
	lost             bool  // went without a drain, and is not back and warm
	removedAt        int64 // when the list last named it otherwise than removed
}

// A usage is what jobs hold at a worker.
type usage struct {
	usedSlots     float64      // slots of our jobs there, of the host's others, and of the peers' jobs
	externalSlots float64      // of these, what the host sent past this dispatcher
	peerUsage     gossip.Usage // and what peers say that their jobs hold there
	usedMemory    float64      // that all these jobs need
	inFlightJobs  int          // of ours
	dirty         bool         // peers have not been told of the last change
}

// The connections to a worker, as far as this dispatcher can tell.
type connections struct {
	open       int   // thought open
	lastUsedAt int64 // last use of one
}

// An indexEntry is what fleetIndex notes of a worker.
type indexEntry struct {
	pending, live, inRemoved, inLost bool // in the slice of that name
	deleted                          bool // no more in Dispatcher.workers
}

// The freeLists hold the workers that may get a job, by kind and by the slots of ours that they have.
type freeLists struct {
	byKind     [][][]*worker // by kind+1, then by level
	numLevels  int           // most levels of any kind
	viewBuffer [][]*worker   // of the last view
}

// setLevel puts a worker into another of the lists, or, for a negative level, in none.
func (f *freeLists) setLevel(w *worker, level int) {
	kindIndex := w.kind + 1
	if kindIndex >= len(f.byKind) {
		kindIndex = 0
	}
	if w.level >= 0 {
		workers := f.byKind[kindIndex][w.level]
		last := workers[len(workers)-1]
		workers[w.position] = last
		last.position = w.position
		f.byKind[kindIndex][w.level] = workers[:len(workers)-1]
	}
	w.level = level
	if level >= 0 {
		for len(f.byKind[kindIndex]) <= level {
			f.byKind[kindIndex] = append(f.byKind[kindIndex], nil)
		}
		f.numLevels = max(f.numLevels, level+1)
		w.position = len(f.byKind[kindIndex][level])
		f.byKind[kindIndex][level] = append(f.byKind[kindIndex][level], w)
	}
}

// A workerView is the workers of one level, of one kind or of all. It is valid until the next call of
// freeLists.at, and until a worker moves.
type workerView struct {
	parts [][]*worker // by kind
	size  int
}

// at returns the workers of one level, and of one kind if it is not negative.
func (f *freeLists) view(kind, level int) (v workerView) {
	from, to := kind+1, kind+2
	if kind < 0 {
		from, to = 0, len(f.byKind)
	}
	f.viewBuffer = f.viewBuffer[:0]
	for _, levels := range f.byKind[from:to] {
		if level < len(levels) {
			f.viewBuffer = append(f.viewBuffer, levels[level])
			v.size += len(levels[level])
		}
	}
	v.parts = f.viewBuffer
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

// pathTo tells how an attempt goes to a worker now.
func (d *Dispatcher) pathTo(w *worker) (path int) {
	if d.needsConnection(w) {
		path++
	}
	if w.zone != d.cfg.Zone {
		path += 2
	}
	return path
}

// needsConnection reports whether the next job to a worker needs a new connection.
func (d *Dispatcher) needsConnection(w *worker) bool {
	return w.inFlightJobs >= w.connections.open || d.cfg.ConnIdle > 0 && d.now-w.connections.lastUsedAt > d.cfg.ConnIdle
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
	d.capacity.reports.Record(&w.report, e.Load, d.now)
	d.capacity.reported.add(w)
}

// The recentReports are the workers that were last heard of, which pickWorker looks at whatever it samples.
type recentReports struct {
	workers [4]*worker
	next    int // place of the next one
}

// add makes a worker the last that was heard of.
func (r *recentReports) add(w *worker) {
	r.workers[r.next] = w
	r.next = (r.next + 1) % len(r.workers)
}

// remove forgets a worker.
func (r *recentReports) remove(w *worker) {
	for i := range r.workers {
		if r.workers[i] == w {
			r.workers[i] = nil
		}
	}
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
