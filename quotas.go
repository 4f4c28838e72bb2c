package foxlift

// The tenants' quotas: what is admitted is divided among them, and how much of that the fleet can serve.

import (
	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// A tenant is one of Config.Tenants as seen here.
type tenant struct {
	quota        *admission.Tenant
	blockedRound int64        // the round of dispatch that found no worker for it
	queues       []classQueue // by class
}

// A classQueue holds a tenant's queued jobs of one class.
type classQueue struct {
	jobs         []*job // the oldest first
	blockedRound int64  // the round of dispatch that found no worker for it
}

// initTenants makes the tenants, with full buckets; the last is for jobs of no known tenant.
func (d *Dispatcher) initTenants() {
	bands := d.cfg.Bands
	if len(bands) == 0 && len(d.cfg.Tenants) > 0 {
		bands = admission.QuotaBand(d.cfg.quotas())
	}
	count := max(1, len(d.cfg.Tenants)) + 1
	d.quotas = admission.NewAllocator(bands, count, len(d.classes), d.cfg.Dispatchers, d.manyDispatchers())
	d.tenants = make([]tenant, count)
	for i := range d.tenants {
		d.tenants[i].quota = d.quotas.Tenant(i)
		d.tenants[i].queues = make([]classQueue, len(d.classes))
	}
	d.updateQuotas()
	d.quotas.FillBuckets()
}

// updateQuotas sets the tenants' rates from the admission rate.
func (d *Dispatcher) updateQuotas() {
	d.quotas.Update(d.rate.AdmissionRate(), d.rate.Unthrottled(), d.rate.Periods(), d.remainingCapacity())
}

// onQuotas takes over new quotas.
func (d *Dispatcher) onQuotas(quotas []float64) {
	if len(quotas) == len(d.cfg.Tenants) {
		d.quotas.SetQuotas(quotas)
	}
}

// remainingCapacity is the fraction of the fleet that is left after workers were lost: gone
// without a drain, or back and in slow start. Tenants' rates are fractions of what the whole fleet can do,
// and would admit more than the rest can bear. Workers that drain are taken out on purpose, as traffic
// falls, and count for nothing.
func (d *Dispatcher) remainingCapacity() float64 {
	inSlowStart, weight := d.slowStartTotals()
	warm := len(d.liveWorkers) - inSlowStart
	total := warm + d.countLost()
	if total == 0 {
		return 1 // nothing is known yet
	}
	return min(1, (float64(warm)+weight)/float64(total))
}
