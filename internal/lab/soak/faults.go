package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// fault is one scheduled fault.
type fault struct {
	kind   int           // index in faultKinds
	start  time.Duration // since the start of the run
	length time.Duration
	seed   uint64 // draws its target and other parameters
}

// faultKind describes a kind of fault. begin injects it and returns the function that ends it; nil if
// the target is reserved by another fault.
type faultKind struct {
	name      string
	weight    int           // relative frequency
	maxLength time.Duration // limit of its duration
	begin     func(p *run, rng *rand.Rand) (end func())
}

const (
	minFaultLength    = 200 * time.Millisecond
	meanFaultInterval = 700 * time.Millisecond // average time between the starts of two faults
	discoveryTarget   = "discovery"            // the name under which discovery is reserved
)

var faultKinds = []faultKind{
	{"discovery's answers are corrupted", 4, 9 * time.Second, corruptDiscovery},
	{"discovery is slow", 3, 9 * time.Second, throttleDiscovery},
	{"discovery is down", 2, 6 * time.Second, disconnectDiscovery},
	{"discovery is unreachable for one scheduler", 2, 6 * time.Second, blockDiscovery},
	{"a worker drains and leaves", 6, 14 * time.Second, drainWorker},
	{"a worker is killed and restarts in slow start", 3, 4 * time.Second, killWorker},
	{"a worker hangs", 2, 3 * time.Second, hangWorker},
	{"a worker is unreachable and removed from the endpoint list", 4, 9 * time.Second, isolateWorker},
	{"a link is blocked", 3, 4 * time.Second, blockLink},
	{"a link is reset", 3, minFaultLength, resetLink},
	{"a link is slow", 2, 3 * time.Second, throttleLink},
	{"clients disconnect", 3, time.Second, (*run).disconnectClients},
	{"clients send partial requests", 1, 4 * time.Second, sendPartialRequests},
	{"a scheduler is killed and starts with its old cached list", 6, 9 * time.Second, killScheduler},
	{"a scheduler is terminated and starts again", 3, 2 * time.Second, terminateScheduler},
	{"a scheduler is suspended", 3, maxPause, stopScheduler},
	{"a scheduler reloads its configuration", 2, minFaultLength, reloadScheduler},
}

// drawFaults draws the faults of a run from its seed and returns them ordered by start.
func (p *run) drawFaults() (faults []fault) {
	var weightedKinds []int
	for i, k := range faultKinds {
		for range k.weight {
			weightedKinds = append(weightedKinds, i)
		}
	}
	for at := time.Duration(0); ; {
		at += time.Duration(p.rng.ExpFloat64() * float64(meanFaultInterval))
		if at >= p.Duration {
			return faults
		}
		k := weightedKinds[p.rng.IntN(len(weightedKinds))]
		length := minFaultLength + time.Duration(p.rng.Int64N(int64(max(1, faultKinds[k].maxLength-minFaultLength))))
		faults = append(faults, fault{k, at, min(length, faultKinds[k].maxLength), p.rng.Uint64()})
	}
}

// overlapping returns how many faults overlap in time with another one.
func overlapping(faults []fault) (n int) {
	for i, a := range faults {
		if slices.ContainsFunc(faults, func(b fault) bool {
			return b != faults[i] && b.start < a.start+a.length && a.start < b.start+b.length
		}) {
			n++
		}
	}
	return n
}

// injectFaults injects each fault at its start, and returns when all have ended.
func (p *run) injectFaults(faults []fault) {
	for _, f := range faults {
		p.wait.Go(func() {
			<-time.After(time.Until(p.startedAt.Add(f.start)))
			k := faultKinds[f.kind]
			end := k.begin(p, rand.New(rand.NewPCG(f.seed, 1)))
			if end == nil {
				return
			}
			<-time.After(f.length)
			end()
		})
	}
	p.wait.Wait()
}

// reserve reserves a target for a fault that excludes others there. It returns false if the target is
// reserved already.
func (p *run) reserve(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[target] {
		return false
	}
	p.reserved[target] = true
	return true
}

func (p *run) release(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reserved, target)
}

// reserveWorker draws a running worker and reserves it; nil if another fault has reserved it.
func (p *run) reserveWorker(rng *rand.Rand) *standin.Worker {
	workers := p.fleet.Workers()
	worker := workers[rng.IntN(len(workers))]
	if !p.reserve(worker.Name) {
		return nil
	}
	return worker
}

// injectIntoProcess draws a scheduler process, reserves it as target and injects a fault into it. The
// end of the fault must release the target. It returns nil if another fault has reserved the process.
func (p *run) injectIntoProcess(
	rng *rand.Rand, begin func(i int, process *fleet.Process, target string) (end func()),
) func() {
	i := rng.IntN(p.Schedulers)
	target := fmt.Sprint("process ", i)
	if !p.reserve(target) {
		return nil
	}
	return begin(i, p.fleet.Processes[i], target)
}

func corruptDiscovery(p *run, rng *rand.Rand) func() {
	if !p.reserve(discoveryTarget) {
		return nil
	}
	p.fleet.Discovery.CorruptResponses(standin.Corruptions[rng.IntN(len(standin.Corruptions))])
	return func() {
		p.fleet.Discovery.CorruptResponses(standin.NoCorruption)
		p.release(discoveryTarget)
	}
}

// partition makes discovery unreachable for some schedulers by applying begin to their links.
func (p *run) partition(schedulers []int, begin func(*fleet.Link)) func() {
	if !p.reserve(discoveryTarget) {
		return nil
	}
	from := time.Now()
	for _, i := range schedulers {
		begin(p.fleet.Links[i])
	}
	return func() {
		for _, i := range schedulers {
			p.fleet.Links[i].Heal()
			p.faultRecord.recordPartition(i, from, time.Now())
		}
		p.release(discoveryTarget)
	}
}

// The range of the delay of answers from a slow discovery.
const (
	minAnswerDelay   = 200 * time.Millisecond
	answerDelayRange = 500 * time.Millisecond
)

// throttleDiscovery delays the answers of discovery to all schedulers.
func throttleDiscovery(p *run, rng *rand.Rand) func() {
	if !p.reserve(discoveryTarget) {
		return nil
	}
	delay := minAnswerDelay + time.Duration(rng.Int64N(int64(answerDelayRange)))
	for _, link := range p.fleet.Links {
		link.Throttle(delay, 0)
	}
	return func() {
		for _, link := range p.fleet.Links {
			link.Heal()
		}
		p.release(discoveryTarget)
	}
}

func disconnectDiscovery(p *run, _ *rand.Rand) func() {
	var all []int
	for i := range p.Schedulers {
		all = append(all, i)
	}
	return p.partition(all, (*fleet.Link).Disconnect)
}

func blockDiscovery(p *run, rng *rand.Rand) func() {
	return p.partition([]int{rng.IntN(p.Schedulers)}, func(link *fleet.Link) {
		link.Block(fleet.ToTarget, fleet.FromTarget)
	})
}

// injectIntoWorker draws a worker, reserves it and injects a fault into it. The end of the fault
// releases it. It returns nil if another fault has reserved the worker.
func (p *run) injectIntoWorker(rng *rand.Rand, begin func(worker *standin.Worker) (end func())) func() {
	worker := p.reserveWorker(rng)
	if worker == nil {
		return nil
	}
	end := begin(worker)
	return func() {
		end()
		p.release(worker.Name)
	}
}

func drainWorker(p *run, rng *rand.Rand) func() {
	return p.injectIntoWorker(rng, func(worker *standin.Worker) func() {
		worker.SetBehaviour(standin.Behaviour{Draining: true})
		p.fleet.Discovery.Put(worker, standin.Leaving)
		return func() { // the worker is not restarted: it keeps listening and keeps its log
			p.fleet.Discovery.Put(worker, standin.Left)
			worker.SetBehaviour(standin.Behaviour{})
			p.fleet.Discovery.Put(worker, standin.Active)
		}
	})
}

func killWorker(p *run, rng *rand.Rand) func() {
	return p.injectIntoWorker(rng, func(worker *standin.Worker) func() {
		worker.Crash()
		if rng.IntN(2) == 0 {
			p.fleet.Discovery.Put(worker, standin.Left)
		}
		return func() {
			if _, err := p.fleet.Restart(worker, ""); err != nil {
				p.logf("restart worker %s: %v", worker.Name, err)
			}
		}
	})
}

func hangWorker(p *run, rng *rand.Rand) func() {
	return p.injectIntoWorker(rng, func(worker *standin.Worker) func() {
		worker.SetBehaviour(standin.Behaviour{Hang: true})
		return func() { worker.SetBehaviour(standin.Behaviour{}) }
	})
}

const (
	maxNoticeDelay = 2 * time.Second // until discovery detects that a worker is unreachable
	rejoinDelay    = time.Second     // until discovery detects that the worker is reachable again
)

// isolateWorker makes a worker unreachable for all schedulers, lets discovery remove it after a delay,
// and lets discovery add it again once the fault has ended.
func isolateWorker(p *run, rng *rand.Rand) func() {
	worker := p.reserveWorker(rng)
	if worker == nil {
		return nil
	}
	from := time.Now()
	for i := range p.Schedulers {
		p.fleet.WorkerLink(i, worker).Block(fleet.ToTarget, fleet.FromTarget)
	}
	delay := time.Duration(rng.Int64N(int64(maxNoticeDelay)))
	notice := time.AfterFunc(delay, func() { p.fleet.Discovery.Put(worker, standin.Left) })
	return func() {
		notice.Stop()
		for i := range p.Schedulers {
			p.fleet.WorkerLink(i, worker).Heal()
			p.faultRecord.recordLinkFault(i, worker.Name, from, time.Now())
		}
		p.wait.Go(func() {
			<-time.After(rejoinDelay)
			p.fleet.Discovery.Put(worker, standin.Active)
			p.release(worker.Name)
		})
	}
}

// injectIntoLink injects a fault into the link from one scheduler to one worker.
func (p *run) injectIntoLink(rng *rand.Rand, begin func(*fleet.Link)) func() {
	return p.injectIntoWorker(rng, func(worker *standin.Worker) func() {
		i, from := rng.IntN(p.Schedulers), time.Now()
		link := p.fleet.WorkerLink(i, worker)
		begin(link)
		return func() {
			link.Heal()
			p.faultRecord.recordLinkFault(i, worker.Name, from, time.Now())
		}
	})
}

// blockedDirections are the directions in which a link can be blocked.
var blockedDirections = [][]fleet.Direction{
	{fleet.ToTarget},
	{fleet.FromTarget},
	{fleet.ToTarget, fleet.FromTarget},
}

func blockLink(p *run, rng *rand.Rand) func() {
	directions := blockedDirections[rng.IntN(len(blockedDirections))]
	return p.injectIntoLink(rng, func(link *fleet.Link) { link.Block(directions...) })
}

func resetLink(p *run, rng *rand.Rand) func() { return p.injectIntoLink(rng, (*fleet.Link).Reset) }

// The upper limit of the delay, and the rate, of a throttled link.
const (
	maxLinkDelay      = 50 * time.Millisecond
	throttledLinkRate = 20_000 // bytes a second
)

func throttleLink(p *run, rng *rand.Rand) func() {
	delay := time.Duration(rng.Int64N(int64(maxLinkDelay)))
	return p.injectIntoLink(rng, func(link *fleet.Link) { link.Throttle(delay, throttledLinkRate) })
}

// killScheduler kills a process. The process starts again with the cached list from the start of the
// run.
func killScheduler(p *run, rng *rand.Rand) func() {
	return p.injectIntoProcess(rng, func(i int, process *fleet.Process, target string) func() {
		p.faultRecord.recordKill(i, time.Now())
		process.Kill()
		return func() { p.restart(process, target) }
	})
}

// restart starts a process again, and releases its target once it is ready.
func (p *run) restart(process *fleet.Process, target string) {
	if err := process.Start(); err != nil {
		p.logf("start scheduler %s: %v", process.Name, err)
	}
	p.wait.Go(func() {
		if err := process.AwaitReady(readyTimeout); err != nil {
			p.logf("await scheduler: %v", err)
		}
		p.release(target)
	})
}

func terminateScheduler(p *run, rng *rand.Rand) func() {
	return p.injectIntoProcess(rng, func(i int, process *fleet.Process, target string) func() {
		p.faultRecord.recordTermination(i, time.Now())
		p.wait.Go(func() {
			if err := process.Terminate(); err != nil {
				p.faultRecord.recordFailedExit()
				p.logf("scheduler %s exited after SIGTERM: %v", process.Name, err)
			}
			p.restart(process, target)
		})
		return func() {}
	})
}

func stopScheduler(p *run, rng *rand.Rand) func() {
	return p.injectIntoProcess(rng, func(_ int, process *fleet.Process, target string) func() {
		_ = process.Signal(syscall.SIGSTOP) // fails if the process has exited, which its exit code shows
		return func() {
			_ = process.Signal(syscall.SIGCONT)
			p.release(target)
		}
	})
}

func reloadScheduler(p *run, rng *rand.Rand) func() {
	return p.injectIntoProcess(rng, func(_ int, process *fleet.Process, target string) func() {
		_ = process.Signal(syscall.SIGHUP) // as in stopScheduler
		return func() { p.release(target) }
	})
}
