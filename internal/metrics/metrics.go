// Package metrics shows a scheduler's figures in the text form of Prometheus. It counts nothing
// itself: the figures are read from the counters that the log prints, and from the core.
package metrics

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/guard"
)

const namespace = "scheduler" // the prefix of every figure's name

// poolTimeout is how long a call waits for the core to tell of the pool. Answers are owed within
// 1 s; a core that is busier than this shows what it last told.
const poolTimeout = 250 * time.Millisecond

// results are the values of the label result, by the verdict that they count.
var results = map[core.Verdict]string{core.Served: "ok", core.Shed: "shed", core.Failed: "errors"}

// A Source tells what the counters do not hold.
type Source interface {
	// Active returns the jobs that are taken and not yet answered.
	Active() int
	// Pool returns what is known of the execute nodes, or an error if that cannot be told by the
	// end of the context.
	WorkerPool(context.Context) (core.WorkerPool, error)
}

// collector implements prometheus.Collector.
type collector struct {
	classes  []string
	counters *counters.Set
	source   Source
	pool     atomic.Value // core.Pool, as last told

	responses, attempts, active, size, ejected, violations *prometheus.Desc
}

// Handler returns a handler that shows the figures of the jobs of all classes.
func Handler(classes []string, set *counters.Set, source Source) http.Handler {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	c := &collector{
		classes: classes, counters: set, source: source,
		responses: describe("responses_total", "Jobs answered, by class and result.", "kind", "result"),
		attempts:  describe("tries_total", "Attempts written whole to execute nodes."),
		active:    describe("active", "Jobs taken and not yet answered."),
		size:      describe("pool_size", "Execute nodes in the machine list."),
		ejected:   describe("pool_ejected", "Listed execute nodes that are avoided."),

		violations: describe("invariant_violations_total", "Actions given up since they would have broken a rule.", "rule"),
	}
	c.pool.Store(core.WorkerPool{})
	registry := prometheus.NewRegistry()
	registry.MustRegister(c)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.responses, c.attempts, c.active, c.size, c.ejected, c.violations} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	for _, class := range c.classes {
		for verdict, result := range results {
			n := c.counters.Part(core.VerdictCounters[verdict], class)
			out <- prometheus.MustNewConstMetric(c.responses, prometheus.CounterValue, float64(n), class, result)
		}
	}
	for _, rule := range guard.Invariants {
		n := c.counters.Get(rule.Counter())
		out <- prometheus.MustNewConstMetric(c.violations, prometheus.CounterValue, float64(n), string(rule))
	}
	pool := c.workerPool()
	out <- prometheus.MustNewConstMetric(c.attempts, prometheus.CounterValue, float64(c.counters.Get(counters.ClaimsWritten)))
	out <- prometheus.MustNewConstMetric(c.active, prometheus.GaugeValue, float64(c.source.Active()))
	out <- prometheus.MustNewConstMetric(c.size, prometheus.GaugeValue, float64(pool.Size))
	out <- prometheus.MustNewConstMetric(c.ejected, prometheus.GaugeValue, float64(pool.Ejected))
}

// workerPool returns the state of the pool, the last known one where the core is too busy.
func (c *collector) workerPool() core.WorkerPool {
	ctx, cancel := context.WithTimeout(context.Background(), poolTimeout)
	defer cancel()
	if pool, err := c.source.WorkerPool(ctx); err == nil {
		c.pool.Store(pool)
	}
	return c.pool.Load().(core.WorkerPool)
}
