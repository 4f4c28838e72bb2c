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
	listenTimeout      = 10 * time.Second      // of a started scheduler process until it listens
	listenPollInterval = 10 * time.Millisecond // between two attempts to connect
	speedJobDeadline   = 5 * time.Second       // deadline and latency objective of the jobs
)

// Range and significant digits of a latency histogram.
const (
	minLatency    = time.Microsecond
	maxLatency    = 10 * time.Second
	latencyDigits = 3
)

// errNotListening reports that a scheduler process does not accept connections within listenTimeout.
var errNotListening = errors.New("the scheduler process does not accept connections")

// MeasureSpeed measures the throughput and latency of one scheduler process for each number of connections, with each
// as the duration of one measurement. Every connection sends its next job when it has the response to the last one; the
// workers answer at once. program is the path of the scheduler's binary, so that different builds can be compared.
// MeasureSpeed prints a table to w. It returns an error if the process cannot be started or does not accept connections
// within listenTimeout, and kills the process at the end.
func MeasureSpeed(ctx context.Context, w io.Writer, program string, connections []int, each time.Duration) error {
	topology := speedTopology()
	topology.Schedulers = 0 // the measured scheduler is a separate process
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

// speedTopology returns a deployment of one scheduler and eight fast workers.
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

// freeAddr returns a loopback address whose port was free at the time of the call.
func freeAddr() (string, error) {
	listener, err := standin.Listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startProcess starts a scheduler process that is to listen on addr. It does not wait until the process listens;
// waitForListener does. stop kills the process and waits for its end.
func startProcess(ctx context.Context, program, config, addr string) (stop func(), err error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_LISTEN="+addr)
	cmd.Stderr = io.Discard
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() {
		_ = cmd.Process.Kill() // fails if the process has already ended
		_ = cmd.Wait()         // returns an error because of the kill
	}, nil
}

// waitForListener waits until an address accepts connections. It returns errNotListening after listenTimeout.
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

// A closedLoopResult is the result of a closed-loop load.
type closedLoopResult struct {
	latencies *hdrhistogram.Histogram // of jobs answered with 200, in nanoseconds
	notServed int                     // jobs
	duration  time.Duration
}

// rate returns the number of jobs answered with 200 in a second.
func (r closedLoopResult) rate() float64 {
	return float64(r.latencies.TotalCount()) / r.duration.Seconds()
}

// quantile returns a quantile of the latencies in milliseconds; q is in percent.
func (r closedLoopResult) quantile(q float64) float64 {
	return float64(r.latencies.ValueAtQuantile(q)) / float64(time.Millisecond)
}

// closedLoop runs one client for each of a number of connections to the scheduler at addr, for the duration each. A
// client sends its next job when it has the response to the last one.
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
				_ = result.latencies.RecordValue(int64(latency)) // a latency above maxLatency is not recorded
			}
			tally := client.TakeTally()
			result.notServed += tally.Sent - tally.Served
		})
	}
	running.Wait()
	result.duration = time.Since(began)
	return result
}
