package foxlift

// The affinity sets: which workers belong to an affinity key. Nothing is decided here.

// rankAffinity returns the warm workers of the own zone and of the job's kind that come first in the order
// of its key. Where crossings are free zones don't count. It also returns how many workers they are the
// first of.
func (d *Dispatcher) rankAffinity(j *job) (workers []*worker, candidates int) {
	workers, candidates, examined := d.keys.index.Rank(j.req.Key, j.class.Kind, d.now)
	d.workersExamined += examined
	return workers, candidates
}

// indexAffinity brings the affinity sets up to date with a worker.
func (d *Dispatcher) indexAffinity(w *worker) {
	indexed := w.state == Live && (w.zone == d.cfg.Zone || d.cfg.Prices.CrossZone <= 0)
	d.keys.index.Update(w, w.hash, &w.affinity, indexed, w.kind, d.capacity.slowStart.EndsAt(&w.warmup))
}
