package foxlift

// What a dispatcher has learned, so that another process of the same scheduler can go on from it.
// Nothing is decided here.

import "slices"

// A Snapshot is what a Dispatcher has learned, without its jobs. Times are on its clock, in
// nanoseconds. It is stored and sent as JSON: the tags keep the names of its first form.
type Snapshot struct {
	Now     int64            `json:"Now"`    // when it was taken
	Period  int64            `json:"Period"` // of the regulator
	U       float64          `json:"U"`
	Open    bool             `json:"Open"`
	Offered float64          `json:"Offered"` // jobs a second
	Share   float64          `json:"Share"`
	Spare   float64          `json:"Spare"`
	Window  float64          `json:"Window"`
	Copies  float64          `json:"Copies"`
	Usual   MeanSnapshot     `json:"Usual"`
	Starts  MeanSnapshot     `json:"Starts"`
	Least   [4]int64         `json:"Least"`
	Fade    int64            `json:"Fade"`
	Rate    float64          `json:"Rate"`    // slots that each warm worker has at work, the held peak
	RateNow float64          `json:"RateNow"` // and the same lately
	Keys    []uint64         `json:"Keys"`
	Classes []ClassSnapshot  `json:"Classes"`
	Tenants []TenantSnapshot `json:"Tenants"`
	Workers []WorkerSnapshot `json:"Workers"`
}

// A MeanSnapshot is a followed average with its mean deviation.
type MeanSnapshot struct {
	Average   float64 `json:"Average"`
	Deviation float64 `json:"Deviation"`
}

// A ClassSnapshot is the state of a class's regulator.
type ClassSnapshot struct {
	Name       string        `json:"Name"`
	Patience   int64         `json:"Patience"`
	Median     int64         `json:"Median"`
	Quick      int64         `json:"Quick"`
	Runs       []int64       `json:"Runs"`
	Ratios     []float64     `json:"Ratios"`
	Parameters [3]float64    `json:"Parameters"`
	Covariance [3][3]float64 `json:"Covariance"`
	Input      float64       `json:"Input"`     // u(k-1), as a share of the most
	LastInput  float64       `json:"LastInput"` // u(k-2), as a share of the most
	Output     float64       `json:"Output"`    // w(k-1)
}

// A TenantSnapshot is the state of a tenant's admission.
type TenantSnapshot struct {
	Name    string    `json:"Name"`
	Rate    float64   `json:"Rate"`
	Tokens  float64   `json:"Tokens"`
	Offered float64   `json:"Offered"`
	Margin  float64   `json:"Margin"`
	Past    float64   `json:"Past"`
	Came    []float64 `json:"Came"` // by class
	Sent    []float64 `json:"Sent"` // by class
}

// A WorkerSnapshot is what is known of one run of a worker.
type WorkerSnapshot struct {
	ID       string   `json:"ID"`
	Started  int64    `json:"Started"` // the start of its process; what is learned holds for no other
	Cap      float64  `json:"Cap"`
	Capped   bool     `json:"Capped"`
	Most     float64  `json:"Most"`
	Shut     int64    `json:"Shut"`
	Backoff  int64    `json:"Backoff"`
	Trial    bool     `json:"Trial"`
	Fulls    int      `json:"Fulls"`
	Good     int64    `json:"Good"`
	Bad      int64    `json:"Bad"`
	Failing  float64  `json:"Failing"`
	Slow     float64  `json:"Slow"`
	ColdFrom int64    `json:"ColdFrom"`
	ColdWork float64  `json:"ColdWork"`
	Keys     []uint64 `json:"Keys"`
}

// Snapshot returns what the dispatcher has learned.
func (d *Dispatcher) Snapshot() *Snapshot {
	s := &Snapshot{
		Now: d.now, Period: d.period, U: d.u, Open: d.open, Offered: d.offered, Share: d.share, Spare: d.burstTokens,
		Window: d.window, Copies: d.copies, Usual: MeanSnapshot{Average: d.usual.avg, Deviation: d.usual.dev},
		Starts: MeanSnapshot{Average: d.starts.avg, Deviation: d.starts.dev}, Least: d.least, Fade: d.fade, Rate: d.warmRate, RateNow: d.warmNow,
		Keys: d.keys.newest(),
	}
	for i := range d.classes {
		s.Classes = append(s.Classes, d.classes[i].snapshot())
	}
	for i := range d.tenants {
		s.Tenants = append(s.Tenants, d.tenants[i].snapshot(d.tenantName(i)))
	}
	for _, w := range d.list {
		if w.state != Gone {
			s.Workers = append(s.Workers, w.snapshot())
		}
	}
	return s
}

// Restore takes over what another dispatcher with the same settings has learned. What the snapshot
// says of classes, tenants or workers that are not known here, or of another run of a worker, is
// left out.
func (d *Dispatcher) Restore(s *Snapshot) {
	d.period, d.u, d.open, d.offered, d.share = s.Period, s.U, s.Open, s.Offered, s.Share
	d.burstTokens, d.window, d.copies, d.least, d.fade = s.Spare, s.Window, s.Copies, s.Least, max(s.Fade, 1)
	d.usual, d.starts = mean{s.Usual.Average, s.Usual.Deviation}, mean{s.Starts.Average, s.Starts.Deviation}
	d.warmRate, d.warmNow = s.Rate, s.RateNow
	d.keys = keyLog{}
	for _, key := range s.Keys {
		d.keys.add(key)
	}
	for i := range s.Classes {
		for k := range d.classes {
			if d.classes[k].Name == s.Classes[i].Name {
				d.classes[k].restore(&s.Classes[i])
			}
		}
	}
	for i := range s.Tenants {
		for k := range d.tenants {
			if d.tenantName(k) == s.Tenants[i].Name {
				d.tenants[k].restore(&s.Tenants[i])
			}
		}
	}
	for i := range s.Workers {
		if w := d.workers[s.Workers[i].ID]; w != nil && w.up == s.Workers[i].Started {
			w.restore(&s.Workers[i])
			d.recountCap(w)
			d.place(w)
		}
	}
}

// tenantName returns the name of a tenant by its index; "" for the requests of no known one.
func (d *Dispatcher) tenantName(i int) string {
	if i < len(d.cfg.Tenants) {
		return d.cfg.Tenants[i].Name
	}
	return ""
}

func (c *classLoop) snapshot() ClassSnapshot {
	return ClassSnapshot{
		Name: c.Name, Patience: c.patience, Median: c.median, Quick: c.quick, Runs: slices.Clone(c.runs),
		Ratios: slices.Clone(c.ratios), Parameters: c.fit.p, Covariance: c.fit.cov,
		Input: c.v, LastInput: c.v1, Output: c.w1,
	}
}

func (c *classLoop) restore(s *ClassSnapshot) {
	c.patience, c.median, c.quick = s.Patience, max(s.Median, 1), max(s.Quick, 1)
	c.runs, c.ratios = slices.Clone(s.Runs), slices.Clone(s.Ratios)
	c.fit = model{p: s.Parameters, cov: s.Covariance}
	c.v, c.v1, c.w1 = s.Input, s.LastInput, s.Output
}

func (t *tenant) snapshot(name string) TenantSnapshot {
	s := TenantSnapshot{Name: name, Rate: t.rate, Tokens: t.tokens, Offered: t.offered, Margin: t.margin, Past: t.overQuotaSends}
	for _, f := range t.classes {
		s.Came, s.Sent = append(s.Came, f.came), append(s.Sent, f.sent)
	}
	return s
}

func (t *tenant) restore(s *TenantSnapshot) {
	t.rate, t.tokens, t.offered, t.margin, t.overQuotaSends = s.Rate, s.Tokens, s.Offered, s.Margin, s.Past
	for i := range t.classes {
		if i < len(s.Came) && i < len(s.Sent) {
			t.classes[i].came, t.classes[i].sent = s.Came[i], s.Sent[i]
		}
	}
}

func (w *worker) snapshot() WorkerSnapshot {
	return WorkerSnapshot{
		ID: w.id, Started: w.up, Cap: w.cap, Capped: w.capped, Most: w.slotsTold, Shut: w.ejectedUntil, Backoff: w.backoff,
		Trial: w.trial, Fulls: w.refusalsInARow, Good: w.good, Bad: w.bad, Failing: w.failing, Slow: w.slow,
		ColdFrom: w.coldFrom, ColdWork: w.coldWork, Keys: slices.Clone(w.keys),
	}
}

func (w *worker) restore(s *WorkerSnapshot) {
	w.cap, w.capped, w.slotsTold, w.ejectedUntil, w.backoff = s.Cap, s.Capped, s.Most, s.Shut, s.Backoff
	w.trial, w.refusalsInARow, w.good, w.bad, w.failing, w.slow = s.Trial, s.Fulls, s.Good, s.Bad, s.Failing, s.Slow
	w.coldFrom, w.coldWork, w.keys = s.ColdFrom, s.ColdWork, slices.Clone(s.Keys)
	w.keys = w.keys[:min(len(w.keys), keptKeys)]
}

// newest returns the keys in the log, the oldest first.
func (l *keyLog) newest() []uint64 {
	var keys []uint64
	for i := max(0, l.n-len(l.last)); i < l.n; i++ {
		keys = append(keys, l.last[i%len(l.last)])
	}
	return keys
}
