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

// A fault is one thing that goes wrong: from a time on, for a while.
type fault struct {
	kind   int
	start  time.Duration
	length time.Duration
	seed   uint64 // draws its target and the like
}

// A kind is a kind of fault. begin injects it and returns what ends it; nil if the target is under another fault.
type faultKind struct {
	name      string
	weight    int
	maxLength time.Duration // that it lasts
	begin     func(p *run, rng *rand.Rand) (end func())
}

const (
	minFaultLength    = 200 * time.Millisecond
	meanFaultInterval = 700 * time.Millisecond // on average one fault begins in this time
	discoveryTarget   = "discovery"            // as a target
)

var faultKinds = []faultKind{
	{"discovery's answers are spoilt", 4, 9 * time.Second, corruptDiscovery},
	{"discovery is slow", 3, 9 * time.Second, throttleDiscovery},
	{"discovery is down", 2, 6 * time.Second, disconnectDiscovery},
	{"a scheduler hears nothing of discovery", 2, 6 * time.Second, blockDiscovery},
	{"a worker drains and leaves", 6, 14 * time.Second, drainWorker},
	{"a worker is killed and comes back cold", 3, 4 * time.Second, killWorker},
	{"a worker hangs", 2, 3 * time.Second, hangWorker},
	{"a worker is cut off and taken off the list", 4, 9 * time.Second, isolateWorker},
	{"a link is silent", 3, 4 * time.Second, blockLink},
	{"a link is reset", 3, minFaultLength, resetLink},
	{"a link is slow", 2, 3 * time.Second, throttleLink},
	{"clients leave", 3, time.Second, (*run).disconnectClients},
	{"clients stop half way", 1, 4 * time.Second, sendPartialRequests},
	{"a scheduler is killed and starts with its old list", 6, 9 * time.Second, killScheduler},
	{"a scheduler is ended and starts again", 3, 2 * time.Second, terminateScheduler},
	{"a scheduler stands still", 3, maxPause, stopScheduler},
	{"a scheduler reads its configuration again", 2, minFaultLength, reloadScheduler},
}

// drawFaults draws the faults of a run from its seed, in the order in which they begin.
func (p *run) drawFaults() (faults []fault) {
	var by []int
	for i, k := range faultKinds {
		for range k.weight {
			by = append(by, i)
		}
	}
	for at := time.Duration(0); ; {
		at += time.Duration(p.rng.ExpFloat64() * float64(meanFaultInterval))
		if at >= p.Duration {
			return faults
		}
		k := by[p.rng.IntN(len(by))]
		length := minFaultLength + time.Duration(p.rng.Int64N(int64(max(1, faultKinds[k].maxLength-minFaultLength))))
		faults = append(faults, fault{k, at, min(length, faultKinds[k].maxLength), p.rng.Uint64()})
	}
}

// overlapping counts the faults during which another one lasts.
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

// playFaults makes the faults happen, each at its time, and returns when all have ended.
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

// claim reserves a target for a fault that excludes others there.
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

// claimWorker draws a worker that is up; nil if it is under another fault.
func (p *run) reserveWorker(rng *rand.Rand) *standin.Worker {
	workers := p.fleet.Workers()
	worker := workers[rng.IntN(len(workers))]
	if !p.reserve(worker.Name) {
		return nil
	}
	return worker
}

// onProcess injects a fault into a scheduler's process that is drawn. Its end has to release the target.
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

// partition makes discovery unreachable for some schedulers.
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

// How late answers of a slow discovery come.
const (
	minAnswerDelay   = 200 * time.Millisecond
	answerDelayRange = 500 * time.Millisecond
)

// throttleDiscovery lets each answer arrive late, at all schedulers.
func throttleDiscovery(p *run, rng *rand.Rand) func() {
	if !p.reserve(discoveryTarget) {
		return nil
	}
	delay := minAnswerDelay + time.Duration(rng.Int64N(int64(answerDelayRange)))
	for _, l := range p.fleet.Links {
		l.Throttle(delay, 0)
	}
	return func() {
		for _, l := range p.fleet.Links {
			l.Heal()
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

// onWorker injects a fault into a worker that is drawn; end releases it.
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
		return func() { // its log is kept: it goes on listening
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
				p.logf("restart of %s: %v", worker.Name, err)
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
	maxNoticeDelay = 2 * time.Second // until discovery notices that a worker is cut off
	rejoinDelay    = time.Second     // until it notices that the worker is back
)

// partitionWorker cuts a worker off from all schedulers, has discovery notice it after a while, and joins it again.
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

// onLink injects a fault into the link of one scheduler to one worker.
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

// silences are the directions in which a link can be silent.
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

// The delay and the rate of a throttled link.
const (
	maxLinkDelay      = 50 * time.Millisecond
	throttledLinkRate = 20_000 // bytes a second
)

func throttleLink(p *run, rng *rand.Rand) func() {
	delay := time.Duration(rng.Int64N(int64(maxLinkDelay)))
	return p.injectIntoLink(rng, func(link *fleet.Link) { link.Throttle(delay, throttledLinkRate) })
}

// killScheduler kills a process. It starts again with the cached list as it was at the run's start.
func killScheduler(p *run, rng *rand.Rand) func() {
	return p.injectIntoProcess(rng, func(i int, process *fleet.Process, target string) func() {
		p.faultRecord.recordKill(i, time.Now())
		process.Kill()
		return func() { p.restart(process, target) }
	})
}

// restart starts a process again, and releases it once it is ready.
func (p *run) restart(process *fleet.Process, target string) {
	if err := process.Start(); err != nil {
		p.logf("start of %s: %v", process.Name, err)
	}
	p.wait.Go(func() {
		if err := process.AwaitReady(readyTimeout); err != nil {
			p.logf("%v", err)
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
				p.logf("%s ended: %v", process.Name, err)
			}
			p.restart(process, target)
		})
		return func() {}
	})
}

func stopScheduler(p *run, rng *rand.Rand) func() {
	return p.injectIntoProcess(rng, func(_ int, process *fleet.Process, target string) func() {
		_ = process.Signal(syscall.SIGSTOP) // fails on one that has ended, which its exit code tells
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
