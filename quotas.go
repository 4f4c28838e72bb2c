package foxlift

// The quotas of the tenants: the division of the admission rate among the tenants, and the fraction of the
// fleet's capacity that is left after workers were lost.

import (
	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// A tenant is the state of one of Config.Tenants, or of the jobs of no known tenant.
type tenant struct {
	quota        *admission.Tenant
	blockedRound int64        // last round of dispatch that found no worker for any of its jobs
	queues       []classQueue // by class index
}

// A classQueue holds a tenant's queued jobs of one class.
type classQueue struct {
	jobs         []*job // oldest first
	blockedRound int64  // last round of dispatch that found no worker for its jobs
}

// initTenants creates the tenants with full token buckets. The last one is for jobs of no known tenant.
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

// onQuotas replaces the quotas and the configured bands. A list of the wrong length is ignored.
func (d *Dispatcher) onQuotas(quotas []float64) {
	if len(quotas) == len(d.cfg.Tenants) {
		d.quotas.SetQuotas(quotas)
	}
}

// remainingCapacity returns the fraction (0 to 1) of the fleet's capacity that is left after workers were
// lost; 1 if none was. A worker is lost if it was removed without draining, until it is back and its slow
// start is over. The tenants' rates are fractions of what the whole fleet can serve, and would overload the
// remaining workers. Draining workers do not count as lost: they are removed on purpose, as traffic falls.
func (d *Dispatcher) remainingCapacity() float64 {
	inSlowStart, weight := d.slowStartTotals()
	warm := len(d.liveWorkers) - inSlowStart
	total := warm + d.countLost()
	if total == 0 {
		return 1 // no worker is known yet
	}
	return min(1, (float64(warm)+weight)/float64(total))
}
