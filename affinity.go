package foxlift

// The affinity sets: the workers that belong to an affinity key. Nothing is decided here.

// rankAffinity returns the first workers in the order of the job's key, at most affinity.MaxWorkers, and the
// number of candidates, which is an estimate in a large fleet (see Indexes.Rank). Candidates are live workers
// of the job's kind that are not in slow start. They belong to this dispatcher's zone, or to any zone where
// crossing zones is free.
func (d *Dispatcher) rankAffinity(j *job) (workers []*worker, candidates int) {
	workers, candidates, examined := d.keys.index.Rank(j.req.Key, j.class.Kind, d.now)
	d.workersExamined += examined
	return workers, candidates
}

// indexAffinity updates a worker's entry in the index of the affinity sets.
func (d *Dispatcher) indexAffinity(w *worker) {
	indexed := w.state == Live && (w.zone == d.cfg.Zone || d.cfg.Prices.CrossZone <= 0)
	d.keys.index.Update(w, w.hash, &w.affinity, indexed, w.kind, d.capacity.slowStart.EndsAt(&w.warmup))
}
