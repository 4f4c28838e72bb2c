package fleet

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// Connections are reset or blocked during deduplicated jobs, and messages between the schedulers are
// corrupted: no job may run twice. The check itself is tested with two faulty deployments, in which
// groups drop repeats for too short a time or share no state; there it must find duplicates.
func TestDeduplicatedJobsRunOnce(t *testing.T) {
	for name, weaken := range map[string]func(*KeyedTrial){
		"":             nil,
		"short window": func(o *KeyedTrial) { o.ShortWindow = true },
		"no groups":    func(o *KeyedTrial) { o.NoGroups = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := DefaultKeyedTrial
			o.Program, o.Faults = program, 200
			if weaken != nil {
				weaken(&o)
			}
			r, err := o.Run(io.Discard)
			must(t, err)
			if weaken == nil && !r.OK() || weaken != nil && r.DuplicateJobs == 0 {
				t.Errorf("trial %q: %s", name, r.Line())
			}
		})
	}
}

// All schedulers are killed at once, start again, and are killed again while they poll discovery.
// After the third start they must serve and get the endpoint list.
func TestAllKilledTwiceWhilePolling(t *testing.T) {
	f := newSmallFleet(t, 12, nil)
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	f.KillAll()
	for _, p := range f.Processes {
		must(t, p.Start())
	}
	polled := f.Discovery.Calls().Received
	await(t, "a scheduler polls discovery", func() bool { return f.Discovery.Calls().Received > polled })
	f.KillAll()
	must(t, f.StartAll(20*time.Second))
	checkServes(t, f, "after")
	awaitEndpoints(t, f, f.Processes...)
	must(t, f.TerminateAll())
}

// No answer of discovery arrives while the schedulers start: they must report that they are ready, send no job by
// their cached endpoint list, which may lack changes that count as notified, and answer each job. When discovery
// is back, all of them must get the current list, with a worker that the cached list did not have.
func TestDiscoveryDownDuringStart(t *testing.T) {
	for name, down := range map[string]func(*Link){
		"disconnected": (*Link).Disconnect,
		"blocked":      func(l *Link) { l.Block(ToTarget, FromTarget) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newSmallFleet(t, 6, nil)
			for _, link := range f.Links {
				down(link)
			}
			must(t, f.StartAll(20*time.Second))
			checkRefuses(t, f, f.Processes...)
			if n := f.RequestsRead(); n > 0 {
				t.Errorf("workers got %d requests by a list of unknown age, want 0", n)
			}
			if n := f.Discovery.Calls().Answered; n > 0 {
				t.Errorf("discovery answered %d calls while it was down, want 0", n)
			}
			newWorker, err := f.AddWorker(f.Kinds[0], time.Time{})
			must(t, err)
			for _, link := range f.Links {
				link.Heal()
				link.Reset()
			}
			awaitEndpoints(t, f, f.Processes...)
			checkNewWorkerServes(t, f, "back", newWorker)
		})
	}
}

// Discovery is reachable from half of the schedulers. They must serve, and the other half must answer each job
// without sending any by their cached endpoint list; for these the drain of a worker counts as notified too.
func TestDiscoveryReachableFromHalf(t *testing.T) {
	f := newSmallFleet(t, 8, nil)
	for _, link := range f.Links[4:] {
		link.Block(FromTarget)
	}
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes[:4]...)
	checkRefuses(t, f, f.Processes[4:]...)
	if n := f.RequestsRead(); n > 0 {
		t.Errorf("workers got %d requests of schedulers without an answer of discovery, want 0", n)
	}
	checkServes(t, f, "half")
	must(t, f.TerminateAll()) // schedulers print their counters at exit
	for i, p := range f.Processes {
		if sent := p.Counter("claims.sent") > 0; sent != (i < 4) {
			t.Errorf("%s sent attempts: %v, want %v", p.Name, sent, i < 4)
		}
		if notified := p.Counter("machines.told") > 1; notified != (i < 4) { // 1 counts the cached list
			t.Errorf("%s was notified of changes: %v, want %v", p.Name, notified, i < 4)
		}
	}
}

// No worker of the cached endpoint list exists any more: jobs must be answered at once, and served
// once the schedulers have the current list.
func TestCachedEndpointsWithEveryWorkerRemoved(t *testing.T) {
	f := newSmallFleet(t, 6, nil)
	for _, worker := range f.Workers() {
		_, err := f.Replace(worker)
		must(t, err)
	}
	must(t, f.StartAll(20*time.Second))
	checkServes(t, f, "gone")
	awaitEndpoints(t, f, f.Processes...)
}

// Schedulers start without a cached endpoint list and cannot reach discovery. They must report that
// they are not ready, answer jobs that a client sends anyway, and serve once they have the list.
func TestStartWithoutCachedEndpoints(t *testing.T) {
	f := newSmallFleet(t, 6, nil)
	for i, p := range f.Processes {
		must(t, f.Configure(i, []byte("null")))
		f.Links[i].Disconnect()
		must(t, p.Start())
		early := &standin.Client{
			Addr:      p.Addr,
			Tenant:    "all",
			Class:     "ratify",
			Remaining: time.Second,
			Name:      "early/ratify/" + p.Name,
		}
		await(t, p.Name+" answers", func() bool { return early.Send() == http.StatusServiceUnavailable })
		if err := p.AwaitReady(0); err == nil {
			t.Errorf("%s is ready without any endpoint, want not ready", p.Name)
		}
	}
	for _, link := range f.Links {
		link.Heal()
	}
	checkServes(t, f, "listed")
}

// A scheduler is suspended between its call to discovery and the answer. After it resumes, it must use
// the answer.
func TestSuspendedBetweenPollAndAnswer(t *testing.T) {
	f := newSmallFleet(t, 5, nil)
	for _, link := range f.Links {
		link.Block(ToTarget)
	}
	must(t, f.StartAll(20*time.Second))
	p := f.Processes[0]
	must(t, p.Signal(syscall.SIGSTOP))
	for _, link := range f.Links {
		link.Heal()
	}
	awaitEndpoints(t, f, f.Processes[1:]...)
	must(t, p.Signal(syscall.SIGCONT))
	awaitEndpoints(t, f, p)
	checkServes(t, f, "stopped")
}

// The answer to a watch is interrupted in the middle for all schedulers at once: each must poll
// discovery again.
func TestWatchAnswerInterrupted(t *testing.T) {
	f := newSmallFleet(t, 8, nil)
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	for _, link := range f.Links {
		link.Throttle(0, 200) // at 200 bytes per second an answer takes some seconds
	}
	polled := f.Discovery.Calls().Received
	newWorker, err := f.AddWorker(f.Kinds[0], time.Time{})
	must(t, err)
	for _, link := range f.Links {
		link.Reset()
		link.Heal()
	}
	await(t, "all schedulers poll again", func() bool { return f.Discovery.Calls().Received >= polled+len(f.Processes) })
	checkNewWorkerServes(t, f, "cut", newWorker)
}

// Schedulers receive SIGTERM while they start and get no answer from discovery. Each must exit
// cleanly, and each job accepted until then must be answered.
func TestTerminatedDuringStart(t *testing.T) {
	f := newSmallFleet(t, 5, nil)
	for _, link := range f.Links {
		link.Block(ToTarget, FromTarget)
	}
	load := f.StartLoad("end", 100, 1)
	must(t, f.StartAll(20*time.Second))
	sum := standin.Tally{}
	await(t, "jobs are answered", func() bool {
		sum = standin.Total(sum, load.ResetTally())
		return sum.Shed > 0
	})
	close(load.stop)
	must(t, f.TerminateAll())
	load.wait.Wait()
	if sum = standin.Total(sum, load.ResetTally()); sum.Lost > 0 {
		t.Errorf("%d of %d jobs were lost, want 0", sum.Lost, sum.Sent)
	}
	if f.Counter("jobs.taken") == 0 {
		t.Error("counter jobs.taken is 0: the schedulers printed no counters at exit")
	}
	checkInvariants(t, f)
}

// One scheduler cannot reach a worker: data is blocked in both directions. No job that may run on
// another worker may be lost, and the other schedulers must not be affected.
func TestWorkerUnreachableFromOneScheduler(t *testing.T) {
	f := newSmallFleet(t, 4, func(o *Options) { o.WorkerLinks = true })
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	f.WorkerLink(0, f.Workers()[0]).Block(ToTarget, FromTarget)
	load := f.StartLoad("silent", 120, 3)
	sum := standin.Tally{}
	await(t, "jobs are served", func() bool {
		sum = standin.Total(sum, load.ResetTally())
		return sum.Served >= 100
	})
	stopAndCheck(t, f, load, sum)
}

// Tests the stand-in that the other tests rely on: a worker in slow start that gets too many jobs must
// count as overloaded, and one that gets few must not.
func TestWorkerOverloadsInSlowStart(t *testing.T) {
	for jobs, falls := range map[int]bool{3: false, 60: true} {
		f := newSmallFleet(t, 1, func(o *Options) {
			o.SlowStart = &standin.SlowStart{
				InitialCapacity:  0.2,
				Duration:         time.Hour,
				OverloadMultiple: 3,
				OverloadWindow:   time.Second,
			}
		})
		worker, err := f.AddWorker(f.Kinds[0], time.Now())
		must(t, err)
		for i := range jobs { // 0.06 s of work each; 2.4 s of work within a second overload the worker
			c, err := standin.Dial(worker.Addr(), 0)
			must(t, err)
			t.Cleanup(func() { c.Close() })
			fmt.Fprintf(c, "POST /ratify HTTP/1.1\r\nHost: n\r\nX-Txn: a/ratify/%d\r\nContent-Length: 0\r\n\r\n", i)
		}
		await(t, "the jobs have arrived", func() bool {
			return falls == worker.Overloaded() && (falls || len(worker.Runs()) == jobs)
		})
	}
}

// A small trial must pass, and OK must fail for a result with an overloaded worker, a lost job, a
// duplicate job or a failed exit.
func TestSlowStartTrial(t *testing.T) {
	trial := SlowStartTrial{
		Program:          program,
		Schedulers:       5,
		Workers:          10,
		Seed:             1,
		Duration:         3 * time.Second,
		LoadFraction:     0.2,
		ReplacedFraction: 0.5,
	}
	r, err := trial.Run(io.Discard)
	must(t, err)
	// 10 workers can do 42 of these jobs per second. The load is a fifth of that, and all jobs must be tallied.
	if !r.OK() || r.Informed != 5 || !r.DiscoveryIdle || r.Tally.Sent < 15 {
		t.Errorf("trial failed: %s (discovery idle %v)", r.Line(), r.DiscoveryIdle)
	}
	for _, bad := range []func(*SlowStartResult){
		func(r *SlowStartResult) { r.OverloadedWorkers = 1 },
		func(r *SlowStartResult) { r.Tally.Lost = 1 },
		func(r *SlowStartResult) { r.DuplicateJobs = 1 },
		func(r *SlowStartResult) { r.CleanExit = false },
	} {
		b := r
		if bad(&b); b.OK() {
			t.Errorf("OK() = true, want false: %s", b.Line())
		}
	}
}

// callDiscovery asks discovery for the complete list.
func callDiscovery(t *testing.T, d *standin.Discovery) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.Addr().String()+"/", nil)
	if err != nil {
		t.Error(err)
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return
	}
	response.Body.Close()
}

// Guards against a trial that takes a single poll at its end for an overloaded discovery, or an overloaded discovery
// for an idle one.
func TestBecomesIdle(t *testing.T) {
	const callers, polls = 16, 5
	for name, test := range map[string]struct {
		repeat, want bool
	}{"one call each": {false, true}, "calls without end": {true, false}} {
		t.Run(name, func(t *testing.T) {
			d, err := standin.StartDiscovery()
			must(t, err)
			defer d.Close()
			d.CallCost = standin.CallCost{PerCall: polls * idlePollInterval, MaxWait: time.Minute}
			var stopping atomic.Bool
			var clients sync.WaitGroup
			for range callers {
				clients.Go(func() {
					for repeat := true; repeat && !stopping.Load(); repeat = test.repeat {
						callDiscovery(t, d)
					}
				})
			}
			await(t, "calls wait for discovery", func() bool { return d.Calls().Waiting > 0 })
			if got := becomesIdle(d, callers); got != test.want {
				t.Errorf("becomesIdle() = %v, want %v", got, test.want)
			}
			stopping.Store(true)
			clients.Wait()
		})
	}
}
