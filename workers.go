package foxlift

// The state that is kept for each worker, and the free lists that index workers by used slots.
// Nothing is decided here.

import (
	"math"

	"github.com/vatu-meals/foxlift/internal/decision/affinity"
	"github.com/vatu-meals/foxlift/internal/decision/capacity"
	"github.com/vatu-meals/foxlift/internal/decision/gossip"
	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// A worker holds this dispatcher's state of one worker.
type worker struct {
	id     string
	number int64  // sequence number, in order of first appearance in the endpoint list
	hash   uint64 // of id

	endpoint
	usage
	connections connections

	level, position int // list and index in Dispatcher.free; level -1: in no list, gets no job
	overdue         int // attempts in flight that it should have started by now

	limit        capacity.Limit
	report       capacity.LoadReport
	outlier      health.Outlier
	warmup       health.Warmup
	latencyRatio float64 // moving mean of its running times over the class medians; 0: none yet

	cachedKeys affinity.CachedKeys   // affinity keys of the last jobs sent there
	affinity   affinity.Registration // entry in affinityState.index
	indexEntry                       // membership in the slices of Dispatcher.fleetIndex
}

// An endpoint holds a worker's entry of the endpoint list.
type endpoint struct {
	zone, kind, cell int
	state            WorkerState
	lastListEvent    int64 // number of the last endpoint event that named the worker
	lost             bool  // removed while live, without draining, and not back and past slow start
	removedAt        int64 // time of the endpoint event that removed it; until then, of the last one
}

// A usage counts the slots and memory that jobs use at a worker.
type usage struct {
	usedSlots     float64      // slots of this dispatcher's jobs, plus externalSlots and peerUsage
	externalSlots float64      // slots of jobs that the host sent past this dispatcher
	peerUsage     gossip.Usage // what peers report that their jobs use
	usedMemory    float64      // memory that the jobs of this dispatcher and its peers need
	inFlightJobs  int          // attempts of this dispatcher in flight
	dirty         bool         // changed since the last message to the peers
}

// connections holds this dispatcher's estimate of the host's connections to a worker.
type connections struct {
	open       int   // estimated number of open connections
	lastUsedAt int64 // when an attempt last used one
}

// An indexEntry records which slices of fleetIndex a worker is in.
type indexEntry struct {
	pending, live, inRemoved, inLost bool // in pendingWorkers, liveWorkers, removedWorkers, lostWorkers
	deleted                          bool // removed from Dispatcher.workers
}

// A freeLists holds the workers that may get a job, by kind and by level: their used slots, rounded down.
type freeLists struct {
	byKind     [][][]*worker // by kind+1, 0 for no kind, then by level
	numLevels  int           // largest number of levels of any kind
	viewBuffer [][]*worker   // backs the parts of the last view
}

// setLevel moves a worker to the list of a level of its kind, or out of the lists if level is negative. Its
// kind must not change while it is in a list.
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

// A workerView lists the workers of one level, of one kind or of all kinds. It is valid until the next call
// of freeLists.view or freeLists.setLevel.
type workerView struct {
	parts [][]*worker // by kind
	size  int
}

// view returns the workers of one level, of all kinds if kind is negative.
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

// at returns the worker at an index, or nil if it is not less than size.
func (v workerView) at(i int) *worker {
	for _, part := range v.parts {
		if i < len(part) {
			return part[i]
		}
		i -= len(part)
	}
	return nil
}

// pathTo returns the path of an attempt sent to a worker now: 1 for a new connection plus 2 for another zone.
func (d *Dispatcher) pathTo(w *worker) (path int) {
	if d.needsConnection(w) {
		path++
	}
	if w.zone != d.cfg.Zone {
		path += 2
	}
	return path
}

// needsConnection reports whether the next job to a worker needs a new connection: all open ones are in use,
// or none was used for more than ConnIdle.
func (d *Dispatcher) needsConnection(w *worker) bool {
	return w.inFlightJobs >= w.connections.open || d.cfg.ConnIdle > 0 && d.now-w.connections.lastUsedAt > d.cfg.ConnIdle
}

// setState sets the state of a worker as in the endpoint list at now. The worker becomes lost if it was live
// and is removed. removedAt becomes now, unless the worker was already removed.
func (w *worker) setState(s WorkerState, now int64) {
	w.lost = w.lost || w.state == Live && s == Removed
	if w.state != Removed {
		w.removedAt = now
	}
	w.state = s
}

// recordLoad stores a worker's load report and adds the worker to recentReports.
func (d *Dispatcher) recordLoad(w *worker, e *Event) {
	d.capacity.reports.Record(&w.report, e.Load, d.now)
	d.capacity.recentReports.add(w)
}

// recentReports holds the workers that reported or freed a slot last. pickWorker considers them in addition
// to its sample.
type recentReports struct {
	workers [4]*worker
	next    int // index that the next worker overwrites
}

// add adds a worker in place of the oldest. A worker may be held more than once.
func (r *recentReports) add(w *worker) {
	r.workers[r.next] = w
	r.next = (r.next + 1) % len(r.workers)
}

// remove sets each entry of a worker to nil.
func (r *recentReports) remove(w *worker) {
	for i := range r.workers {
		if r.workers[i] == w {
			r.workers[i] = nil
		}
	}
}

// memoryCapacity returns the memory that a worker has for jobs, in units of memory; infinity if unknown.
func (d *Dispatcher) memoryCapacity(w *worker) float64 {
	if d.cfg.SlotMemory == 0 || w.report.TotalSlots() == 0 {
		return math.Inf(1)
	}
	return w.report.TotalSlots() * d.cfg.SlotMemory
}

// Ejected returns how many live workers get no job, or one trial job at most, because attempts there failed
// or were not started in time. Workers that only have no free slot do not count.
func (d *Dispatcher) Ejected() int {
	n := 0
	for _, w := range d.workerOrder {
		if w.state == Live && (w.outlier.OnTrial() || w.overdue > 0) {
			n++
		}
	}
	return n
}
