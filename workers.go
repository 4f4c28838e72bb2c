package foxlift

// What is known of workers, and where they stand. Nothing is decided here.

import "math"

// A worker is what this dispatcher knows of one.
type worker struct {
	id               string
	number           int64 // in the order first heard of
	zone, kind, cell int
	state            WorkerState
	listed           int64 // number of the last list event that named it
	lost             bool  // went without a drain, and is not back and warm
	went             int64 // when the list last named it otherwise than gone
	up               int64 // when it started; 0: long ago
	hash             uint64

	own            float64 // slots of our jobs there, and of the host's others
	others         float64 // of these, what others sent
	theirs         held    // and what peers say that their jobs hold there
	memory         float64 // that all these jobs need
	slotsTold      float64 // slots that it has, as its load reports tell; 0: unknown
	untold         bool    // peers have not been told of the last change
	jobs           int
	cap            float64 // most of our slots that it takes without delay
	capped         bool    // cap was learned from its own answers
	level, pos     int     // place in Dispatcher.room; level -1: gets nothing now
	overdue        int     // jobs that it should have started
	ejectedUntil   int64   // gets nothing before this
	backoff        int64
	acceptedAt     int64   // when the last attempt that it accepted was sent
	accepting      bool    // it is in Dispatcher.accepting
	refusalsInARow int     // refusals in a row
	trial          bool    // one job only, until it answers
	good           int64   // when it last started one of our jobs at once,
	bad            int64   // and when it last had no room for one, or failed it
	failing        float64 // share of late attempts that failed
	coldFrom       int64   // a young worker's last send,
	coldWork       float64 // and the work that it must have had time for before the next
	slow           float64 // its running times over the class medians
	load           [MaxGauges]float64
	loaded         bool
	since          float64 // slots sent since the load report
	loadAt         int64
	conns          int      // connections thought open
	idleAt         int64    // last use of a connection
	keys           []uint64 // of our last jobs there, the newest first

	indexed // where it stands in Dispatcher.fleetIndex
}

// indexed is what fleetIndex notes of a worker.
type indexed struct {
	pending, live, inGone, inLost bool  // in the slice of that name
	forgotten                     bool  // no more in Dispatcher.workers
	counted                       bool  // its cap is in the sum,
	countedCap                    int64 // as so much
	home                          bool  // in the index of homes,
	homeKind                      int   // of this kind,
	homeWarm                      int64 // and warm from then on
}

// moveTo puts a worker into another of the room lists, or, for a negative level,
// in none.
func (d *Dispatcher) moveTo(w *worker, level int) {
	k := w.kind + 1
	if k >= len(d.room) {
		k = 0
	}
	if w.level >= 0 {
		ws := d.room[k][w.level]
		last := ws[len(ws)-1]
		ws[w.pos] = last
		last.pos = w.pos
		d.room[k][w.level] = ws[:len(ws)-1]
	}
	w.level = level
	if level >= 0 {
		for len(d.room[k]) <= level {
			d.room[k] = append(d.room[k], nil)
		}
		d.levels = max(d.levels, level+1)
		w.pos = len(d.room[k][level])
		d.room[k][level] = append(d.room[k][level], w)
	}
}

// A roomView is the workers of one level, of one kind or of all. It is valid until the next call of
// roomAt, and until a worker moves.
type roomView struct {
	parts [][]*worker // by kind
	size  int
}

// roomAt returns the workers of one level, and of one kind if it is not negative.
func (d *Dispatcher) roomAt(kind, level int) (v roomView) {
	from, to := kind+1, kind+2
	if kind < 0 {
		from, to = 0, len(d.room)
	}
	d.parts = d.parts[:0]
	for _, levels := range d.room[from:to] {
		if level < len(levels) {
			d.parts = append(d.parts, levels[level])
			v.size += len(levels[level])
		}
	}
	v.parts = d.parts
	return v
}

// at returns the worker of an index under size.
func (v roomView) at(i int) *worker {
	for _, part := range v.parts {
		if i < len(part) {
			return part[i]
		}
		i -= len(part)
	}
	return nil
}

// coldSent is the work that a young worker has been sent in this window, where no rate is known.
func (d *Dispatcher) coldSent(w *worker) float64 {
	if !d.byTurns(w) || d.turns.At(w.coldFrom) != d.turns.At(d.now) {
		return 0
	}
	return w.coldWork
}

// coldSize is what a job counts for at such a worker. By its aim: running times are long where
// it is cold. Aims tell little of how much heavier one is than another, so the rest counts twice.
func (d *Dispatcher) coldSize(j *job) float64 {
	return 2*j.req.Slots*float64(j.class.Aim) - d.lightestAim
}

// coldAfter is what a young worker has been sent with this attempt, until it has had time for it.
func (d *Dispatcher) coldAfter(w *worker, a *attempt) float64 {
	if !d.byTurns(w) {
		return a.slots * float64(a.job.class.median) * (0.75 + d.rng.Float64()/2)
	}
	return d.coldSent(w) + d.coldSize(a.job)
}

// setState notes what the list says of a worker.
func (w *worker) setState(s WorkerState, now int64) {
	w.lost = w.lost || w.state == Live && s == Gone
	if w.state != Gone {
		w.went = now
	}
	w.state = s
}

// report keeps a worker's load report.
func (d *Dispatcher) report(w *worker, e *Event) {
	w.load, w.loaded, w.since, w.loadAt = e.Load, true, 0, d.now
	var gauges [GaugeFreeMemory + 1]float64
	known := 0
	for i, g := range d.cfg.Gauges {
		gauges[g] = e.Load[i]
		if g == GaugeHeld || g == GaugeQueue || g == GaugeFreeSlots {
			known++
		}
	}
	if known == 3 {
		w.slotsTold = max(w.slotsTold, math.Round(gauges[GaugeHeld]-gauges[GaugeQueue]+gauges[GaugeFreeSlots]))
	}
	d.usual.add(d.reported(w, 1))
	d.heard(w)
}

// heard makes a worker the last that was heard of: pick looks at it whatever it samples.
func (d *Dispatcher) heard(w *worker) {
	d.fresh[d.freshAt] = w
	d.freshAt = (d.freshAt + 1) % len(d.fresh)
}

// slots is the most that a worker can have at work.
func (w *worker) slots() float64 {
	if w.slotsTold == 0 {
		return math.Inf(1)
	}
	return w.slotsTold
}

// memoryOf is the memory that a worker has for jobs.
func (d *Dispatcher) memoryOf(w *worker) float64 {
	if d.cfg.SlotMemory == 0 || w.slotsTold == 0 {
		return math.Inf(1)
	}
	return w.slotsTold * d.cfg.SlotMemory
}

// Ejected returns how many live workers get nothing, or one trial job at most, since attempts
// there failed or were not started in time. Workers that are only full do not count.
func (d *Dispatcher) Ejected() int {
	n := 0
	for _, w := range d.list {
		if w.state == Live && (w.trial || w.overdue > 0) {
			n++
		}
	}
	return n
}
