package foxlift

import (
	"github.com/vatu-meals/foxlift/internal/decision/admission"
	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// Helpers that set and read the measured state of a dispatcher.

func setRate(d *Dispatcher, change func(*admission.RateState)) {
	s := d.rate.State()
	change(&s)
	d.rate.Restore(s)
}

func setTenant(d *Dispatcher, i int, change func(*admission.TenantState)) {
	s := d.quotas.Tenant(i).State()
	change(&s)
	d.quotas.Tenant(i).Restore(s)
}

func tenantRate(d *Dispatcher, i int) float64 { return d.quotas.Tenant(i).State().Rate }

func (c *class) setLoop(change func(*admission.LoopState)) {
	s := c.loop.State()
	change(&s)
	c.loop.Restore(s, c.loop.Ratios())
}

func (c *class) setRuntimes(median, lowerQuartile int64) {
	c.runtimes.Restore(median, lowerQuartile, c.runtimes.Recent())
}

func (w *worker) setOutlier(change func(*health.OutlierState)) {
	s := w.outlier.State()
	change(&s)
	w.outlier.Restore(s)
}

func setPeakRate(d *Dispatcher, peak float64) {
	d.capacity.slowStart.Rate().Restore(peak, d.capacity.slowStart.Rate().Recent())
}

// servedSlots returns the slots that the rate of warm workers has recorded in the current second.
func servedSlots(d *Dispatcher) float64 {
	rate := *d.capacity.slowStart.Rate()
	rate.Restore(0, 0)
	rate.Update(1, 1)
	return rate.Recent()
}

// clearSlowStartWork sets the work of a worker's last send in slow start to 0, so that the next job can be sent
// at once.
func (w *worker) clearSlowStartWork() {
	at, _ := w.warmup.LastSend()
	w.warmup.RestoreLastSend(at, 0)
}

func setFleetPressure(d *Dispatcher, average float64) {
	usual := d.capacity.reports.FleetPressure()
	usual.Average = average
	d.capacity.reports.Restore(usual, d.capacity.reports.DecayTime())
}
