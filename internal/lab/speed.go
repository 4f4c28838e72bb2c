package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vatu-meals/foxlift/internal/standin"
)

const (
	listenTimeout      = 10 * time.Second // for a scheduler process to listen
	listenPollInterval = 10 * time.Millisecond
	speedJobDeadline   = 5 * time.Second // of the jobs in a speed measurement
)

// The bounds and digits of a latency histogram.
const (
	minLatency    = time.Microsecond
	maxLatency    = 10 * time.Second
	latencyDigits = 3
)

// errNotListening says that a scheduler process did not come up.
var errNotListening = errors.New("the scheduler does not listen")

// Speed measures one scheduler process: jobs a second and latency with so many
// connections, each sending its next job when it has the answer, to workers that
// answer at once. program is the scheduler's binary: two builds can be compared.
func MeasureSpeed(ctx context.Context, w io.Writer, program string, connections []int, each time.Duration) error {
	topology := speedTopology()
	topology.Schedulers = 0 // the one that is measured is a process of its own
	deployment, err := StartDeployment(topology)
	if err != nil {
		return err
	}
	defer deployment.Close()
	deployment.Topology = speedTopology()
	for _, worker := range deployment.Workers {
		worker.ServiceTime = func(string) time.Duration { return 0 }
	}
	config, err := deployment.Config(0)
	if err != nil {
		return err
	}
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	stop, err := startProcess(ctx, program, config, addr)
	if err != nil {
		return err
	}
	defer stop()
	if err := waitForListener(ctx, addr); err != nil {
		return err
	}
	fmt.Fprintln(w, "connections  jobs a second     p50     p99   p99.9  not served")
	for _, n := range connections {
		result := closedLoop(addr, n, each)
		fmt.Fprintf(w, "%11d  %13.0f  %4.2f ms %4.2f ms %4.2f ms %8d\n", n, result.rate(),
			result.quantile(50), result.quantile(99), result.quantile(99.9), result.notServed)
	}
	return nil
}

// speedTopology is one scheduler among fast workers.
func speedTopology() Topology {
	return Topology{
		Schedulers: 1,
		Sockets:    1024,
		Zones:      []string{"east"},
		Kinds:      []WorkerKind{{Name: "fast", Count: 8, Slots: 64, Speed: 1}},
		Tenants:    []Tenant{{"all", 1}},
		Classes:    []Class{readingClass(time.Nanosecond, 1)},
	}
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() (string, error) {
	listener, err := standin.Listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startProcess starts a scheduler process that listens on an address; stop kills it and waits
// for its end.
func startProcess(ctx context.Context, program, config, addr string) (stop func(), err error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_LISTEN="+addr)
	cmd.Stderr = io.Discard
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() {
		_ = cmd.Process.Kill() // it may have ended by itself
		_ = cmd.Wait()         // tells of the kill
	}, nil
}

// awaitListening waits until something accepts connections on an address.
func waitForListener(ctx context.Context, addr string) error {
	var dialer net.Dialer
	for began := time.Now(); ; {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err == nil {
			conn.Close()
			return nil
		}
		if time.Since(began) > listenTimeout {
			return errNotListening
		}
		<-time.After(listenPollInterval)
	}
}

// A closedLoopResult is what clients saw that each waited for their answers.
type closedLoopResult struct {
	latencies *hdrhistogram.Histogram // ns
	notServed int                     // jobs
	took      time.Duration
}

// rate is the jobs answered a second.
func (r closedLoopResult) rate() float64 { return float64(r.latencies.TotalCount()) / r.took.Seconds() }

// quantile returns a quantile of the latencies, given in percent, in milliseconds.
func (r closedLoopResult) quantile(q float64) float64 {
	return float64(r.latencies.ValueAtQuantile(q)) / float64(time.Millisecond)
}

// closedLoop runs so many clients that each wait for their answer.
func closedLoop(addr string, connections int, each time.Duration) closedLoopResult {
	result := closedLoopResult{
		latencies: hdrhistogram.New(int64(minLatency), int64(maxLatency), latencyDigits),
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	for i := range connections {
		client := &standin.Client{
			Addr:             addr,
			Tenant:           "all",
			Class:            "reading",
			LatencyObjective: speedJobDeadline,
			Remaining:        speedJobDeadline,
			Name:             fmt.Sprintf("speed-%d-%d-%d", connections, i, began.UnixNano()),
		}
		running.Go(func() {
			for time.Since(began) < each {
				client.Send()
			}
			mu.Lock()
			defer mu.Unlock()
			for _, latency := range client.TakeLatencies() {
				_ = result.latencies.RecordValue(int64(latency)) // beyond maxLatency it is not counted
			}
			tally := client.TakeTally()
			result.notServed += tally.Sent - tally.Served
		})
	}
	running.Wait()
	result.took = time.Since(began)
	return result
}
