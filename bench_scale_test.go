package foxlift

import (
	"fmt"
	"math"
	"testing"

	"gonum.org/v1/gonum/stat"
)

// Benchmarks of a dispatcher's operations over the number of workers, from the smallest fleet to the largest
// that the dispatcher is designed for. Each reports the slope of log(time) over log(workers), fitted by least
// squares, and its residual. A slope of 0 is a constant cost, a slope of 1 a cost that grows linearly.

var scaleSizes = []int{60, 200, 600, 2000, 6000, 19000}

const (
	scaleTenants = 98
	scaleZones   = 34
	scaleKinds   = 4
)

// scaleWorkers returns the workers of a fleet with several zones and kinds, none in slow start.
func scaleWorkers(n int) (workers []Worker) {
	for i := range n {
		workers = append(workers, Worker{
			ID:   fmt.Sprintf("worker-%05d", i),
			Zone: i % scaleZones,
			Kind: i % scaleKinds,
			Cell: i / 8,
		})
	}
	return workers
}

// scaleDispatcher returns one of 300 dispatchers of such a fleet. Classes 0 to 2 run on any kind of worker, class 3
// on a single kind.
func scaleDispatcher(tb testing.TB, workers int) *Dispatcher {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Gauges, cfg.Tenants = 300, nil, nil
	for i := range scaleTenants {
		cfg.Tenants = append(cfg.Tenants, Tenant{fmt.Sprint("t", i), 1e6})
	}
	singleKind := cfg.Classes[0]
	singleKind.Kind = scaleKinds - 1
	cfg.Classes = append(cfg.Classes, singleKind)
	d, err := New(cfg, 1)
	if err != nil {
		tb.Fatal(err)
	}
	d.Step(second, []Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: scaleWorkers(workers)}})
	d.Step(2*second, nil)
	return d
}

// benchmarkBySize runs a benchmark at each size and reports the slope. run returns the operation to measure.
func benchmarkBySize(b *testing.B, run func(b *testing.B, workers int) func()) {
	var sizes, times []float64
	for _, n := range scaleSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			once := run(b, n)
			b.ReportAllocs()
			for b.Loop() {
				once()
			}
			if len(sizes) == 0 || sizes[len(sizes)-1] != float64(n) { // of several runs at a size, the last one counts
				sizes, times = append(sizes, float64(n)), append(times, 0)
			}
			times[len(times)-1] = float64(b.Elapsed().Nanoseconds()) / float64(b.N)
		})
	}
	b.Run("slope", func(b *testing.B) {
		if len(sizes) < 2 {
			b.Skip("a slope needs at least two sizes")
		}
		slope, residual := logSlope(sizes, times)
		for b.Loop() {
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(slope, "slope")
		b.ReportMetric(residual, "residual")
	})
}

// logSlope fits log y = a + slope * log x by least squares. It returns the slope and the root mean square of
// the deviations, in natural logarithms.
func logSlope(xs, ys []float64) (slope, residual float64) {
	var sizes, times []float64
	for i := range xs {
		sizes, times = append(sizes, math.Log(xs[i])), append(times, math.Log(ys[i]))
	}
	offset, slope := stat.LinearRegression(sizes, times, nil, false)
	for i := range sizes {
		deviation := times[i] - offset - slope*sizes[i]
		residual += deviation * deviation / float64(len(sizes))
	}
	return slope, math.Sqrt(residual)
}

// BenchmarkScaleCompleteEndpoints measures a dispatcher's first complete endpoint list.
func BenchmarkScaleCompleteEndpoints(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, n int) func() {
		d := scaleDispatcher(b, 0)
		cfg, workers, now := d.cfg, scaleWorkers(n), 3*second
		return func() {
			b.StopTimer()
			d, _ := New(cfg, 1)
			b.StartTimer()
			now += ms
			d.Step(now, []Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: workers}})
		}
	})
}

// BenchmarkScaleRepeatedEndpoints measures a complete endpoint list without a change.
func BenchmarkScaleRepeatedEndpoints(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, n int) func() {
		d, workers, now := scaleDispatcher(b, n), scaleWorkers(n), 3*second
		return func() {
			now += ms
			d.Step(now, []Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: workers}})
		}
	})
}

// BenchmarkScaleChange measures a delta with one worker that starts draining or becomes live again.
func BenchmarkScaleChange(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, n int) func() {
		d, now, i := scaleDispatcher(b, n), 3*second, 0
		workers := scaleWorkers(n)
		return func() {
			now += ms / 10
			w := workers[i/2%n]
			w.State = [2]WorkerState{Draining, Live}[i%2]
			i++
			d.Step(now, []Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: []Worker{w}}})
		}
	})
}

// BenchmarkScaleTick measures a tick without a job.
func BenchmarkScaleTick(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, n int) func() {
		d, now := scaleDispatcher(b, n), 3*second
		return func() {
			now += d.tickInterval
			d.Step(now, nil)
		}
	})
}

// scaleJob returns an operation that runs all steps of a job without the ticks between: it arrives, is sent, starts
// and is served.
func scaleJob(b *testing.B, n int, request func(id uint64) Request) func() {
	d, now, id := scaleDispatcher(b, n), 3*second, uint64(0)
	return func() {
		now += ms
		id++
		r := request(id)
		r.ID, r.Tenant, r.Deadline = id, int(id)%scaleTenants, now+2*second
		for _, a := range d.Step(now, []Event{{Kind: EventRequest, Request: r}}) {
			if a.Kind == ActionSend {
				worker := a.Worker
				d.Step(now, []Event{started(id, a.Attempt, worker), outcome(id, a.Attempt, worker, Served)})
				break
			}
		}
	}
}

// BenchmarkScaleJob measures a job that may run on any kind of worker.
func BenchmarkScaleJob(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, n int) func() {
		return scaleJob(b, n, func(uint64) Request { return Request{} })
	})
}

// BenchmarkScaleKindJob measures a job that may run on one kind of worker.
func BenchmarkScaleKindJob(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, n int) func() {
		return scaleJob(b, n, func(uint64) Request { return Request{Class: 3} })
	})
}

// BenchmarkScaleKeyedJob measures a job with an affinity key that is new each time.
func BenchmarkScaleKeyedJob(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, n int) func() {
		return scaleJob(b, n, func(id uint64) Request { return Request{Key: id} })
	})
}
