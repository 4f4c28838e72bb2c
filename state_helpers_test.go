package foxlift

import "github.com/vatu-meals/foxlift/internal/decision/admission"

// How tests set what a dispatcher has learned.

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
