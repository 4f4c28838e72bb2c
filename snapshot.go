package foxlift

// Snapshots of a dispatcher's learned state, with which another process of the same scheduler can continue.
// Nothing is decided here.

import (
	"slices"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
	"github.com/vatu-meals/foxlift/internal/decision/capacity"
	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// A Snapshot holds the learned state of a Dispatcher without its jobs. Times are in nanoseconds on the
// dispatcher's clock. It is stored and sent as JSON: the tags keep the field names of its first version.
type Snapshot struct {
	Now              int64            `json:"Now"`    // time of the snapshot
	ControlPeriods   int64            `json:"Period"` // control periods of the rate controller
	AdmissionRate    float64          `json:"U"`      // of the whole fleet, jobs a second
	Unthrottled      bool             `json:"Open"`
	OfferedRate      float64          `json:"Offered"` // jobs a second
	TrafficFraction  float64          `json:"Share"`
	BurstTokens      float64          `json:"Spare"`
	StartWindow      float64          `json:"Window"` // slots
	HedgeBudget      float64          `json:"Copies"` // hedges that may be sent
	FleetPressure    MeanSnapshot     `json:"Usual"`
	StartDelay       MeanSnapshot     `json:"Starts"`
	MinDelay         [4]int64         `json:"Least"`   // shortest start delay by path; 0: none yet
	PressureDecay    int64            `json:"Fade"`    // time in which a load report's weight falls to 1/e
	PeakWorkerRate   float64          `json:"Rate"`    // slots in use at each warm worker, held peak
	RecentWorkerRate float64          `json:"RateNow"` // recent average of the same
	Keys             []uint64         `json:"Keys"`
	Classes          []ClassSnapshot  `json:"Classes"`
	Tenants          []TenantSnapshot `json:"Tenants"`
	Workers          []WorkerSnapshot `json:"Workers"`
}

// A MeanSnapshot holds a moving average and its mean deviation.
type MeanSnapshot struct {
	Average   float64 `json:"Average"`
	Deviation float64 `json:"Deviation"`
}

// A ClassSnapshot holds the state of a class's latency control loop and its recent run times.
type ClassSnapshot struct {
	Name          string        `json:"Name"`
	Patience      int64         `json:"Patience"` // longest time from a request's arrival to its deadline
	Median        int64         `json:"Median"`
	LowerQuartile int64         `json:"Quick"`
	Runs          []int64       `json:"Runs"`
	Ratios        []float64     `json:"Ratios"`
	Parameters    [3]float64    `json:"Parameters"`
	Covariance    [3][3]float64 `json:"Covariance"`
	Input         float64       `json:"Input"`     // u(k-1), as a fraction of the maximum
	PreviousInput float64       `json:"LastInput"` // u(k-2), as a fraction of the maximum
	Output        float64       `json:"Output"`    // w(k-1)
}

// A TenantSnapshot holds the admission state of a tenant: see admission.TenantState. Name is "" for requests
// without a known tenant.
type TenantSnapshot struct {
	Name        string    `json:"Name"`
	Rate        float64   `json:"Rate"`
	Tokens      float64   `json:"Tokens"`
	OfferedRate float64   `json:"Offered"`
	Margin      float64   `json:"Margin"`
	ExcessSends float64   `json:"Past"`
	Arrivals    []float64 `json:"Came"` // by class
	Sends       []float64 `json:"Sent"` // by class
}

// A WorkerSnapshot holds the state learned of one process of a worker. The fields from PausedUntil to
// FailureRate are those of health.OutlierState.
type WorkerSnapshot struct {
	ID                    string   `json:"ID"`
	StartedAt             int64    `json:"Started"` // start of the process, to which alone the state applies
	ConcurrencyLimit      float64  `json:"Cap"`     // slots
	LimitLearned          bool     `json:"Capped"`
	ReportedSlots         float64  `json:"Most"` // total slots from its load reports; 0: unknown
	PausedUntil           int64    `json:"Shut"`
	Backoff               int64    `json:"Backoff"`
	Trial                 bool     `json:"Trial"`
	ConsecutiveRejections int      `json:"Fulls"`
	PromptStartAt         int64    `json:"Good"`
	LastFaultAt           int64    `json:"Bad"`
	FailureRate           float64  `json:"Failing"`
	LatencyRatio          float64  `json:"Slow"` // running times over class medians, moving mean; 0: none yet
	SlowStartSentAt       int64    `json:"ColdFrom"`
	SlowStartWork         float64  `json:"ColdWork"`
	Keys                  []uint64 `json:"Keys"`
}

// Snapshot returns the learned state of the dispatcher, without removed workers.
func (d *Dispatcher) Snapshot() *Snapshot {
	rate := d.rate.State()
	s := &Snapshot{
		Now: d.now, ControlPeriods: rate.Periods, AdmissionRate: rate.AdmissionRate, Unthrottled: rate.Unthrottled,
		OfferedRate: rate.OfferedRate, TrafficFraction: d.quotas.TrafficFraction(), BurstTokens: d.quotas.BurstTokens(),
		StartWindow: d.capacity.startWindow.Slots(), HedgeBudget: d.jobs.hedgeBudget,
		FleetPressure: MeanSnapshot(d.capacity.reports.FleetPressure()),
		StartDelay:    MeanSnapshot(d.capacity.startDelays.Mean()), MinDelay: d.capacity.startDelays.Min(),
		PressureDecay: d.capacity.reports.DecayTime(), PeakWorkerRate: d.capacity.slowStart.Rate().Peak(),
		RecentWorkerRate: d.capacity.slowStart.Rate().Recent(),
		Keys:             d.keys.keyLog.Keys(),
	}
	for i := range d.classes {
		s.Classes = append(s.Classes, d.classes[i].snapshot())
	}
	for i := range d.tenants {
		s.Tenants = append(s.Tenants, d.tenants[i].snapshot(d.tenantName(i)))
	}
	for _, w := range d.workerOrder {
		if w.state != Removed {
			s.Workers = append(s.Workers, w.snapshot())
		}
	}
	return s
}

// Restore replaces the learned state by that of another dispatcher with the same settings. Entries for
// classes, tenants or workers that this dispatcher does not have, or for another process of a worker, are
// skipped: the endpoint list must have been applied before. Times are used as they are, and s.Now is not
// used.
func (d *Dispatcher) Restore(s *Snapshot) {
	d.rate.Restore(admission.RateState{
		Periods: s.ControlPeriods, AdmissionRate: s.AdmissionRate, Unthrottled: s.Unthrottled, OfferedRate: s.OfferedRate,
	})
	d.quotas.Restore(s.TrafficFraction, s.BurstTokens)
	d.capacity.startWindow.Set(s.StartWindow)
	d.capacity.startDelays.Restore(capacity.MovingMean(s.StartDelay), s.MinDelay)
	d.capacity.reports.Restore(capacity.MovingMean(s.FleetPressure), max(s.PressureDecay, 1))
	d.jobs.hedgeBudget = s.HedgeBudget
	d.capacity.slowStart.Rate().Restore(s.PeakWorkerRate, s.RecentWorkerRate)
	d.keys.keyLog.Restore(s.Keys)
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
		if w := d.workers[s.Workers[i].ID]; w != nil && w.warmup.StartedAt() == s.Workers[i].StartedAt {
			w.restore(&s.Workers[i])
			d.updateLimitSum(w)
			d.updateLevel(w)
		}
	}
}

// tenantName returns the name of the tenant with an index, or "" for the entry of requests without a known tenant.
func (d *Dispatcher) tenantName(i int) string {
	if i < len(d.cfg.Tenants) {
		return d.cfg.Tenants[i].Name
	}
	return ""
}

// snapshot returns the state of the class, in copies of its slices.
func (c *class) snapshot() ClassSnapshot {
	s := c.loop.State()
	return ClassSnapshot{
		Name: c.Name, Patience: c.maxClientWait, Median: c.runtimes.Median(), LowerQuartile: c.runtimes.LowerQuartile(),
		Runs: slices.Clone(c.runtimes.Recent()), Ratios: slices.Clone(c.loop.Ratios()),
		Parameters: s.Parameters, Covariance: s.Covariance,
		Input: s.Input, PreviousInput: s.PreviousInput, Output: s.Output,
	}
}

// restore sets the state of the class from copies of the slices of s.
func (c *class) restore(s *ClassSnapshot) {
	c.maxClientWait = s.Patience
	c.runtimes.Restore(s.Median, s.LowerQuartile, slices.Clone(s.Runs))
	c.loop.Restore(admission.LoopState{
		Parameters: s.Parameters, Covariance: s.Covariance,
		Input: s.Input, PreviousInput: s.PreviousInput, Output: s.Output,
	}, slices.Clone(s.Ratios))
}

// snapshot returns the state of the tenant under a name, in copies of its slices.
func (t *tenant) snapshot(name string) TenantSnapshot {
	s := t.quota.State()
	return TenantSnapshot{
		Name: name, Rate: s.Rate, Tokens: s.Tokens, OfferedRate: s.OfferedRate, Margin: s.Margin,
		ExcessSends: s.ExcessSends, Arrivals: slices.Clone(s.Arrivals), Sends: slices.Clone(s.Sends),
	}
}

// restore sets the state of the tenant from s, of which it copies the counts.
func (t *tenant) restore(s *TenantSnapshot) {
	t.quota.Restore(admission.TenantState{
		Rate: s.Rate, Tokens: s.Tokens, OfferedRate: s.OfferedRate, Margin: s.Margin,
		ExcessSends: s.ExcessSends, Arrivals: s.Arrivals, Sends: s.Sends,
	})
}

// snapshot returns the state of the worker, without its last load report and its usage.
func (w *worker) snapshot() WorkerSnapshot {
	outlier := w.outlier.State()
	sentAt, work := w.warmup.LastSend()
	return WorkerSnapshot{
		ID: w.id, StartedAt: w.warmup.StartedAt(), ConcurrencyLimit: w.limit.Slots(), LimitLearned: w.limit.Learned(),
		ReportedSlots: w.report.TotalSlots(), PausedUntil: outlier.PausedUntil, Backoff: outlier.Backoff,
		Trial: outlier.Trial, ConsecutiveRejections: outlier.ConsecutiveRejections,
		PromptStartAt: outlier.PromptStartAt, LastFaultAt: outlier.LastFaultAt, FailureRate: outlier.FailureRate,
		LatencyRatio: w.latencyRatio, SlowStartSentAt: sentAt, SlowStartWork: work,
		Keys: slices.Clone(w.cachedKeys.Keys()),
	}
}

// restore sets the state of the worker. The caller updates the sum of limits and the worker's level.
func (w *worker) restore(s *WorkerSnapshot) {
	w.limit.Restore(s.ConcurrencyLimit, s.LimitLearned)
	w.report.RestoreTotalSlots(s.ReportedSlots)
	w.outlier.Restore(health.OutlierState{
		PausedUntil: s.PausedUntil, Backoff: s.Backoff, Trial: s.Trial,
		ConsecutiveRejections: s.ConsecutiveRejections,
		PromptStartAt:         s.PromptStartAt, LastFaultAt: s.LastFaultAt, FailureRate: s.FailureRate,
	})
	w.latencyRatio = s.LatencyRatio
	w.warmup.RestoreLastSend(s.SlowStartSentAt, s.SlowStartWork)
	w.cachedKeys.Restore(s.Keys)
}
