package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// The scenarios of this file run over real sockets. A seed determines the network faults between clients, a real
// scheduler and stand-in workers. The scheduler's answers are checked against the runs that the workers record.

const scenarioSettings = `{"discovery":"subscribe","dcs":["a"],"zone":"a","flavors":["k"],
 "grades":[{"name":"reading","aim":200000000,"deadline":600000000,"effect":"idempotent"},
  {"name":"ratify","aim":200000000,"deadline":600000000,"effect":"at_most_once"}],
 "projects":[{"name":"t","quotaRps":1000}],
 "bounds":{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000000,"maxAttempts":3,` +
	`"connIdle":30000000000,"connectTimeout":500000000},
 "familyInfo":{"tellsStart":true},"obligations":{"mustAskIn":10000000000}}`

const (
	scenarioWorkers = 3
	scenarioClients = 3
	jobsPerClient   = 5
	answerTimeout   = 3500 * time.Millisecond // the scheduler ends a malformed request within 3 s
	settleTimeout   = 5 * time.Second         // limit for all accepted jobs to be answered
)

var (
	// faultsTowardsWorkers are the faults of data from the scheduler to a worker. They neither repeat nor
	// reorder data, since a network does not do that to the scheduler's requests. Data that a worker or a
	// client sends may have any fault.
	faultsTowardsWorkers = []standin.Fault{
		standin.Pass, standin.Pass, standin.Pass,
		standin.Delay, standin.Split, standin.Truncate, standin.Reset, standin.CloseHalf,
	}
	// faultsTowardsClients are the faults of the scheduler's answers to clients.
	faultsTowardsClients = []standin.Fault{standin.Pass, standin.Delay, standin.Split}
)

// drawFaults returns n random faults from a set. If the set is nil, about half of them are Pass and the rest are
// drawn from all faults.
func drawFaults(rng *rand.Rand, n int, set []standin.Fault) (script []standin.Fault) {
	for range n {
		if set != nil {
			script = append(script, set[rng.IntN(len(set))])
		} else if fault := standin.Fault(rng.IntN(2 * int(standin.FaultCount))); fault < standin.FaultCount {
			script = append(script, fault)
		} else {
			script = append(script, standin.Pass)
		}
	}
	return script
}

// An answer is what a client received for a job.
type answer struct {
	id, body string
	status   int
}

// A scenario is a scheduler with stand-ins, the faults between them, and the results of its jobs.
type scenario struct {
	seed    uint64
	rng     *rand.Rand
	daemon  *Daemon
	workers []*standin.Worker
	proxy   *standin.Proxy

	mu         sync.Mutex // guards the fields below
	answers    []answer
	violations []string // violated guarantees, as messages
}

// runScenario runs jobs under the faults of a seed and returns the violated guarantees.
func runScenario(t testing.TB, seed uint64) []string {
	t.Helper()
	s := &scenario{seed: seed, rng: rand.New(rand.NewPCG(seed, 77))}
	s.start(t)
	var clients sync.WaitGroup
	for client := range scenarioClients {
		clients.Go(func() { s.runClient(t.Context(), client) })
	}
	clients.Wait()
	s.awaitAnswered()
	s.checkRuns()
	return s.violations
}

// must fails the test at an error.
func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// start starts the scheduler and the stand-ins, and waits until the scheduler is ready.
func (s *scenario) start(t testing.TB) {
	t.Helper()
	settings, err := config.ParseSettings([]byte(scenarioSettings))
	must(t, err)
	settings.Module.PollEndpoints = true
	for i := range scenarioWorkers {
		s.startWorker(t, fmt.Sprint("n", i))
	}
	discovery, err := standin.StartDiscovery(s.workers...)
	must(t, err)
	t.Cleanup(func() { discovery.Close(); discovery.Reset() })
	s.daemon, err = StartWith(t.Context(), Options{Log: zap.NewNop()}, &Configuration{
		Scheduler: &config.Scheduler{
			Listen:          "127.0.0.1:0",
			Discovery:       discovery.Addr().String(),
			Seed:            s.seed,
			MaxDescriptors:  128,
			CachedEndpoints: discovery.ListJSON(),
			Settings:        settings,
		},
		Operator: &config.OperatorConfig{},
	})
	must(t, err)
	t.Cleanup(s.daemon.Kill)
	towardsScheduler := drawFaults(s.rng, 16, nil)
	towardsClients := drawFaults(s.rng, 8, faultsTowardsClients)
	s.proxy, err = standin.StartProxy(s.daemon.Addr().String(), towardsScheduler, towardsClients)
	must(t, err)
	t.Cleanup(s.proxy.Stop)
	for !s.daemon.Core.Ready() {
		time.Sleep(time.Millisecond)
	}
}

// startWorker starts a worker behind a proxy with faults.
func (s *scenario) startWorker(t testing.TB, name string) {
	t.Helper()
	serviceTime := func(string) time.Duration { return 2 * time.Millisecond }
	worker, err := standin.StartWorker(standin.WorkerSpec{
		Name:        name,
		Zone:        "a",
		Kind:        "k",
		Slots:       2,
		Queue:       4,
		ServiceTime: serviceTime,
	})
	must(t, err)
	t.Cleanup(worker.Crash)
	towardsWorker := drawFaults(s.rng, 12, faultsTowardsWorkers)
	towardsScheduler := drawFaults(s.rng, 12, nil)
	proxy, err := standin.StartProxy(worker.Addr(), towardsWorker, towardsScheduler)
	must(t, err)
	t.Cleanup(proxy.Stop)
	worker.AnnouncedAddr = proxy.Addr().String()
	if s.rng.IntN(5) == 0 {
		worker.SetBehaviour(standin.Behaviour{ResetAfterBytes: 1 + s.rng.IntN(200)})
	}
	s.workers = append(s.workers, worker)
}

// addViolation records a violated guarantee.
func (s *scenario) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// runClient sends jobs one after another, on a new connection after each job that failed or closed its
// connection.
func (s *scenario) runClient(ctx context.Context, client int) {
	var dialer net.Dialer
	var c net.Conn
	var reader *bufio.Reader
	for i := range jobsPerClient {
		if c == nil {
			var err error
			if c, err = dialer.DialContext(ctx, "tcp", s.proxy.Addr().String()); err != nil {
				return
			}
			reader = bufio.NewReader(c)
		}
		id, class := fmt.Sprintf("j-%d-%d-%d", s.seed, client, i), []string{"reading", "ratify"}[(client+i)%2]
		if closes := s.sendJob(c, reader, id, class); closes {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// sendJob sends a job, records the answer, and reports whether the connection has to be closed.
func (s *scenario) sendJob(c net.Conn, reader *bufio.Reader, id, class string) (closes bool) {
	c.SetDeadline(time.Now().Add(answerTimeout))
	fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: t\r\n"+
		"X-Remaining: 400m\r\nContent-Length: 4\r\n\r\nbody", class, id, class)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.reportTimeout(id, err)
		return true
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.reportTimeout(id, err)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, answer{id, string(body), response.StatusCode})
	return response.Close
}

// reportTimeout records a violation if err is a timeout: the job was not answered and its connection not closed.
func (s *scenario) reportTimeout(id string, err error) {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		s.addViolation("job %s: no answer and no end of the connection within %v", id, answerTimeout)
	}
}

// awaitAnswered waits until all accepted jobs are answered, and records a violation after settleTimeout.
func (s *scenario) awaitAnswered() {
	counters := s.daemon.Counters
	for deadline := time.Now().Add(settleTimeout); ; time.Sleep(5 * time.Millisecond) {
		accepted := counters.Get("jobs.taken")
		answered := counters.Get("jobs.served") + counters.Get("jobs.refused") + counters.Get("jobs.failed")
		if accepted == answered {
			return
		}
		if time.Now().After(deadline) {
			s.addViolation("%d of %d accepted jobs are answered after %v: %v", answered, accepted, settleTimeout,
				counters.All())
			return
		}
	}
}

// checkRuns compares the answers with the runs that the workers have recorded.
func (s *scenario) checkRuns() {
	runs := map[string]int{}
	for _, worker := range s.workers {
		for id, n := range worker.Runs() {
			runs[id] += n
			if !strings.HasPrefix(id, "j-") {
				s.addViolation("a job with the id %q ran, which no client sent", id) // accepted garbage
			}
		}
	}
	for _, a := range s.answers {
		switch {
		case a.status == http.StatusOK && !strings.HasPrefix(a.body, "j-"):
			s.addViolation("job %s: served with the body %q, want the id of a job", a.id, a.body)
		case a.status == http.StatusOK && runs[strings.Fields(a.body)[0]] == 0:
			s.addViolation("job %s: served with the body %q, but no worker ran that job", a.id, a.body)
		}
	}
	for id, n := range runs {
		// A garbled request may have lost its class, so the class is derived from the id as in runClient.
		var client, i int
		_, err := fmt.Sscanf(id, fmt.Sprintf("j-%d-%%d-%%d", s.seed), &client, &i)
		if err == nil && (client+i)%2 == 1 && n > 1 {
			s.addViolation("at-most-once job %s ran %d times", id, n)
		}
	}
}

// TestScenarios runs the scenarios of fixed seeds.
func TestScenarios(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, violation := range runScenario(t, seed) {
				t.Error(violation)
			}
		})
	}
}

// FuzzScenario runs the scenarios of fuzzed seeds.
func FuzzScenario(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		for _, violation := range runScenario(t, seed) {
			t.Error(violation)
		}
	})
}
