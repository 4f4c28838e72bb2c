// Package metrics exposes a scheduler's metrics in the Prometheus text format. It counts nothing itself: the
// values are read from the counters that the log also prints, and from the core. Its only state is the last
// known state of the worker pool.
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
	"github.com/vatu-meals/foxlift/internal/memory"
)

const namespace = "scheduler" // prefix of the name of every metric

// poolTimeout limits how long a request waits for the core to report the worker pool. A response is due
// within 1 s; if the core does not report in time, the last report is used.
const poolTimeout = 250 * time.Millisecond

// results maps each verdict to the value of the label "result" that counts it.
var results = map[core.Verdict]string{core.Served: "ok", core.Shed: "shed", core.Failed: "errors"}

// A Source provides the values that are not counters.
type Source interface {
	// Active returns the number of jobs that are accepted and not yet answered.
	Active() int
	// WorkerPool returns the state of the worker pool, or an error if that is not available before the
	// context ends.
	WorkerPool(context.Context) (core.WorkerPool, error)
}

// collector implements prometheus.Collector.
type collector struct {
	classes  []string
	counters *counters.Set
	source   Source
	memory   func() memory.Usage
	pool     atomic.Value // the last reported core.WorkerPool

	responses, attempts, active, poolSize, poolEjected, violations *prometheus.Desc
	memoryLimit, memoryMapped, memoryLive                          *prometheus.Desc
}

// Handler returns an HTTP handler that exposes the metrics, with one series per class and result for jobs. readMemory
// returns the memory of the process.
func Handler(classes []string, set *counters.Set, source Source, readMemory func() memory.Usage) http.Handler {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	c := &collector{
		classes: classes, counters: set, source: source, memory: readMemory,
		responses:   describe("responses_total", "Jobs answered, by class and result.", "kind", "result"),
		attempts:    describe("tries_total", "Attempts written whole to execute nodes."),
		active:      describe("active", "Jobs taken and not yet answered."),
		poolSize:    describe("pool_size", "Execute nodes in the machine list."),
		poolEjected: describe("pool_ejected", "Listed execute nodes that are avoided."),

		violations: describe("invariant_violations_total", "Actions given up since they would have broken a rule.", "rule"),

		memoryLimit:  describe("memory_limit_bytes", "Soft memory limit of the Go runtime; 0 without one."),
		memoryMapped: describe("memory_mapped_bytes", "Memory that the Go runtime has from the system."),
		memoryLive:   describe("memory_live_bytes", "Heap objects found in use by the last garbage collection."),
	}
	c.pool.Store(core.WorkerPool{})
	registry := prometheus.NewRegistry()
	registry.MustRegister(c)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.responses, c.attempts, c.active, c.poolSize, c.poolEjected, c.violations,
		c.memoryLimit, c.memoryMapped, c.memoryLive,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	for _, class := range c.classes {
		for verdict, result := range results {
			n := c.counters.GetLabeled(core.VerdictCounters[verdict], class)
			out <- prometheus.MustNewConstMetric(c.responses, prometheus.CounterValue, float64(n), class, result)
		}
	}
	for _, invariant := range guard.Invariants {
		n := c.counters.Get(invariant.Counter())
		out <- prometheus.MustNewConstMetric(c.violations, prometheus.CounterValue, float64(n), string(invariant))
	}
	pool := c.workerPool()
	attempts := c.counters.Get(counters.ClaimsWritten)
	out <- prometheus.MustNewConstMetric(c.attempts, prometheus.CounterValue, float64(attempts))
	usage := c.memory()
	for _, gauge := range []struct {
		desc  *prometheus.Desc
		value float64
	}{
		{c.active, float64(c.source.Active())},
		{c.poolSize, float64(pool.Size)},
		{c.poolEjected, float64(pool.Ejected)},
		{c.memoryLimit, float64(usage.Limit)},
		{c.memoryMapped, float64(usage.Mapped)},
		{c.memoryLive, float64(usage.Live)},
	} {
		out <- prometheus.MustNewConstMetric(gauge.desc, prometheus.GaugeValue, gauge.value)
	}
}

// workerPool returns the state of the worker pool, or its last known state if the core does not report within
// poolTimeout. A prometheus.Collector does not receive the context of the request, so that only the timeout
// limits the wait.
func (c *collector) workerPool() core.WorkerPool {
	ctx, cancel := context.WithTimeout(context.Background(), poolTimeout)
	defer cancel()
	if pool, err := c.source.WorkerPool(ctx); err == nil {
		c.pool.Store(pool)
	}
	return c.pool.Load().(core.WorkerPool)
}
