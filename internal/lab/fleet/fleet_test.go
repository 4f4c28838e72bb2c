package fleet

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// Connections are reset or silenced amid deduplicated jobs, and messages between the schedulers are
// corrupted: none runs twice. Where the groups forget sooner than the settings say, or know nothing of
// each other, the same judge says so.
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
				t.Error(r.Line())
			}
		})
	}
}

// All are killed at once, come back, and are killed again while they poll.
func TestAllKilledTwiceWhilePolling(t *testing.T) {
	f := newSmallFleet(t, 12, nil)
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	f.KillAll()
	for _, p := range f.Processes {
		must(t, p.Start())
	}
	polled := f.Discovery.Calls().Received
	await(t, "some poll", func() bool { return f.Discovery.Calls().Received > polled })
	f.KillAll()
	must(t, f.StartAll(20*time.Second))
	checkServes(t, f, "after")
	awaitEndpoints(t, f, f.Processes...)
	must(t, f.TerminateAll())
}

// Discovery is down while they start: they serve from what they know; when it is back all
// of them have the list, and with it a worker that they did not know.
func TestDiscoveryDownDuringStart(t *testing.T) {
	for name, down := range map[string]func(*Link){
		"refusing": (*Link).Disconnect,
		"silent":   func(l *Link) { l.Block(ToTarget, FromTarget) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newSmallFleet(t, 6, nil)
			for _, l := range f.Links {
				down(l)
			}
			must(t, f.StartAll(20*time.Second))
			checkServes(t, f, "down")
			if n := f.Discovery.Calls().Answered; n > 0 {
				t.Errorf("%d calls were answered by a discovery that is down", n)
			}
			fresh, err := f.AddWorker(f.Kinds[0], time.Time{})
			must(t, err)
			for _, l := range f.Links {
				l.Heal()
				l.Reset()
			}
			awaitEndpoints(t, f, f.Processes...)
			checkNewWorkerServes(t, f, "back", fresh)
		})
	}
}

// Half of them reach discovery; the others go on with what they know.
func TestDiscoveryReachableFromHalf(t *testing.T) {
	f := newSmallFleet(t, 8, nil)
	for _, l := range f.Links[4:] {
		l.Block(FromTarget)
	}
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes[:4]...)
	checkServes(t, f, "half")
	must(t, f.TerminateAll()) // which prints the counters
	for i, p := range f.Processes {
		if told := p.Counter("machines.told") > 1; told != (i < 4) { // the first is the cached list
			t.Errorf("%s was told of changes: %v", p.Name, told)
		}
	}
}

// All workers that they know are removed: jobs are answered at once, and served once the list is there.
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

// Nothing is known: they say that they are not ready, a front that sends jobs all the same
// has an answer for each, and they serve once they have the list.
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
			t.Errorf("%s is ready and knows no worker", p.Name)
		}
	}
	for _, l := range f.Links {
		l.Heal()
	}
	checkServes(t, f, "listed")
}

// A process stands still between its call and the answer: it goes on with what came.
func TestSuspendedBetweenPollAndAnswer(t *testing.T) {
	f := newSmallFleet(t, 5, nil)
	for _, l := range f.Links {
		l.Block(ToTarget)
	}
	must(t, f.StartAll(20*time.Second))
	p := f.Processes[0]
	must(t, p.Signal(syscall.SIGSTOP))
	for _, l := range f.Links {
		l.Heal()
	}
	awaitEndpoints(t, f, f.Processes[1:]...)
	must(t, p.Signal(syscall.SIGCONT))
	awaitEndpoints(t, f, p)
	checkServes(t, f, "stopped")
}

// A watch's answer is cut in the middle, for all at once: they poll again.
func TestWatchAnswerInterrupted(t *testing.T) {
	f := newSmallFleet(t, 8, nil)
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	for _, l := range f.Links {
		l.Throttle(0, 200) // an answer takes some seconds
	}
	polled := f.Discovery.Calls().Received
	fresh, err := f.AddWorker(f.Kinds[0], time.Time{})
	must(t, err)
	for _, l := range f.Links {
		l.Reset()
		l.Heal()
	}
	await(t, "all poll again", func() bool { return f.Discovery.Calls().Received >= polled+len(f.Processes) })
	checkNewWorkerServes(t, f, "cut", fresh)
}

// SIGTERM while they start and hear nothing of discovery: each ends well, and every job
// taken until then has its answer.
func TestTerminatedDuringStart(t *testing.T) {
	f := newSmallFleet(t, 5, nil)
	for _, l := range f.Links {
		l.Block(ToTarget, FromTarget)
	}
	l := f.StartLoad("end", 100, 1)
	must(t, f.StartAll(20*time.Second))
	sum := standin.Tally{}
	await(t, "jobs are served", func() bool {
		sum = standin.Total(sum, l.ResetTally())
		return sum.Served > 0
	})
	close(l.stop)
	must(t, f.TerminateAll())
	l.wait.Wait()
	if sum = standin.Total(sum, l.ResetTally()); sum.Lost > 0 {
		t.Errorf("%d of %d jobs lost", sum.Lost, sum.Sent)
	}
	if f.Counter("jobs.taken") == 0 {
		t.Error("no counters are printed at the end")
	}
	checkInvariants(t, f)
}

// A worker that is cut off from one process in silence, both ways, costs it no job that may
// run elsewhere, and the others nothing.
func TestWorkerUnreachableFromOneScheduler(t *testing.T) {
	f := newSmallFleet(t, 4, func(o *Options) { o.WorkerLinks = true })
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	f.WorkerLink(0, f.Workers()[0]).Block(ToTarget, FromTarget)
	l := f.StartLoad("silent", 120, 3)
	sum := standin.Tally{}
	await(t, "jobs are served", func() bool {
		sum = standin.Total(sum, l.ResetTally())
		return sum.Served >= 100
	})
	stopAndCheck(t, f, l, sum)
}

// The oracle sees: a worker in slow start that is sent too much falls, one that is not does not.
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
		for i := range jobs { // 0.06 s of work each: 2.4 s in a second are too much
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

// The trial itself, small: it passes, and its result fails where a worker was overloaded.
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
	// 10 workers do 42 of these jobs a second; asked for are a fifth, and all must count.
	if !r.OK() || r.Informed != 5 || !r.DiscoveryIdle || r.Tally.Sent < 15 {
		t.Errorf("%s (drained %v)", r.Line(), r.DiscoveryIdle)
	}
	for _, bad := range []func(*SlowStartResult){
		func(r *SlowStartResult) { r.OverloadedWorkers = 1 },
		func(r *SlowStartResult) { r.Tally.Lost = 1 },
		func(r *SlowStartResult) { r.DuplicateJobs = 1 },
		func(r *SlowStartResult) { r.CleanExit = false },
	} {
		b := r
		if bad(&b); b.OK() {
			t.Errorf("passes: %s", b.Line())
		}
	}
}
