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
	at     time.Duration
	length time.Duration
	pick   uint64 // draws its target and the like
}

// A kind is a kind of fault. begin makes it so and returns what ends it; nil if it did not come to it.
type kind struct {
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

var kinds = []kind{
	{"discovery's answers are spoilt", 4, 9 * time.Second, corruptDiscovery},
	{"discovery is slow", 3, 9 * time.Second, throttleDiscovery},
	{"discovery is down", 2, 6 * time.Second, discoveryDown},
	{"a scheduler hears nothing of discovery", 2, 6 * time.Second, discoverySilent},
	{"a node drains and leaves", 6, 14 * time.Second, drainWorker},
	{"a node is killed and comes back cold", 3, 4 * time.Second, killWorker},
	{"a node hangs", 2, 3 * time.Second, hangWorker},
	{"a node is cut off and taken off the list", 4, 9 * time.Second, partitionWorker},
	{"a link is silent", 3, 4 * time.Second, silentLink},
	{"a link is reset", 3, minFaultLength, resetLink},
	{"a link is slow", 2, 3 * time.Second, throttleLink},
	{"submitters leave", 3, time.Second, (*run).disconnectClients},
	{"submitters stop half way", 1, 4 * time.Second, halfRequests},
	{"a scheduler is killed and starts with its old list", 6, 9 * time.Second, killScheduler},
	{"a scheduler is ended and starts again", 3, 2 * time.Second, terminateScheduler},
	{"a scheduler stands still", 3, 150 * time.Millisecond, stopScheduler},
	{"a scheduler reads its configuration again", 2, minFaultLength, reloadScheduler},
}

// draw draws the faults of a run from its seed, in the order in which they begin.
func (p *run) drawFaults() (faults []fault) {
	var by []int
	for i, k := range kinds {
		for range k.weight {
			by = append(by, i)
		}
	}
	for at := time.Duration(0); ; {
		at += time.Duration(p.rng.ExpFloat64() * float64(meanFaultInterval))
		if at >= p.For {
			return faults
		}
		k := by[p.rng.IntN(len(by))]
		length := minFaultLength + time.Duration(p.rng.Int64N(int64(max(1, kinds[k].maxLength-minFaultLength))))
		faults = append(faults, fault{k, at, min(length, kinds[k].maxLength), p.rng.Uint64()})
	}
}

// overlapping counts the faults during which another one lasts.
func overlapping(faults []fault) (n int) {
	for i, a := range faults {
		if slices.ContainsFunc(faults, func(b fault) bool {
			return b != faults[i] && b.at < a.at+a.length && a.at < b.at+b.length
		}) {
			n++
		}
	}
	return n
}

// play makes the faults happen, each at its time, and returns when all have ended.
func (p *run) playFaults(faults []fault) {
	for _, f := range faults {
		p.wait.Go(func() {
			<-time.After(time.Until(p.startedAt.Add(f.at)))
			k := kinds[f.kind]
			end := k.begin(p, rand.New(rand.NewPCG(f.pick, 1)))
			if end == nil {
				return
			}
			<-time.After(f.length)
			end()
		})
	}
	p.wait.Wait()
}

// claim takes a target for a fault that excludes others there.
func (p *run) claim(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[target] {
		return false
	}
	p.busy[target] = true
	return true
}

func (p *run) release(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, target)
}

// claimWorker takes a node that is up and under no other fault; nil if the one that was drawn is.
func (p *run) claimWorker(rng *rand.Rand) *standin.Worker {
	nodes := p.f.Workers()
	n := nodes[rng.IntN(len(nodes))]
	if !p.claim(n.Name) {
		return nil
	}
	return n
}

// claimProcess takes a scheduler's process.
func (p *run) claimProcess(rng *rand.Rand) (i int, target string) {
	i = rng.IntN(p.Schedulers)
	if target = fmt.Sprint("process ", i); !p.claim(target) {
		return -1, ""
	}
	return i, target
}

func corruptDiscovery(p *run, rng *rand.Rand) func() {
	if !p.claim(discoveryTarget) {
		return nil
	}
	p.f.Discovery.CorruptAnswers(standin.Corruptions[rng.IntN(len(standin.Corruptions))])
	return func() {
		p.f.Discovery.CorruptAnswers(standin.NoCorruption)
		p.release(discoveryTarget)
	}
}

// unreachable makes discovery unreachable for some schedulers.
func (p *run) unreachable(which []int, begin func(*fleet.Link)) func() {
	if !p.claim(discoveryTarget) {
		return nil
	}
	from := time.Now()
	for _, i := range which {
		begin(p.f.Links[i])
	}
	return func() {
		for _, i := range which {
			p.f.Links[i].Heal()
			p.record.unreachable(i, from, time.Now())
		}
		p.release(discoveryTarget)
	}
}

// throttleDiscovery lets each answer arrive late, at all schedulers.
func throttleDiscovery(p *run, rng *rand.Rand) func() {
	if !p.claim(discoveryTarget) {
		return nil
	}
	delay := 200*time.Millisecond + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
	for _, l := range p.f.Links {
		l.Throttle(delay, 0)
	}
	return func() {
		for _, l := range p.f.Links {
			l.Heal()
		}
		p.release(discoveryTarget)
	}
}

func discoveryDown(p *run, _ *rand.Rand) func() {
	var all []int
	for i := range p.Schedulers {
		all = append(all, i)
	}
	return p.unreachable(all, (*fleet.Link).Cut)
}

func discoverySilent(p *run, rng *rand.Rand) func() {
	return p.unreachable([]int{rng.IntN(p.Schedulers)}, func(l *fleet.Link) { l.Silence(fleet.ToTarget, fleet.FromTarget) })
}

func drainWorker(p *run, rng *rand.Rand) func() {
	n := p.claimWorker(rng)
	if n == nil {
		return nil
	}
	n.Behave(standin.Behaviour{Draining: true})
	p.f.Discovery.Put(n, "leaving")
	return func() { // its log is kept: it goes on listening
		p.f.Discovery.Put(n, "left")
		n.Behave(standin.Behaviour{})
		p.f.Discovery.Put(n, "active")
		p.release(n.Name)
	}
}

func killWorker(p *run, rng *rand.Rand) func() {
	n := p.claimWorker(rng)
	if n == nil {
		return nil
	}
	n.Crash()
	if rng.IntN(2) == 0 {
		p.f.Discovery.Put(n, "left")
	}
	return func() {
		if _, err := p.f.Restart(n, ""); err != nil {
			p.logf("restart of %s: %v", n.Name, err)
		}
		p.release(n.Name)
	}
}

func hangWorker(p *run, rng *rand.Rand) func() {
	n := p.claimWorker(rng)
	if n == nil {
		return nil
	}
	n.Behave(standin.Behaviour{Hang: true})
	return func() {
		n.Behave(standin.Behaviour{})
		p.release(n.Name)
	}
}

// partitionWorker cuts a node off from all schedulers, has discovery notice it after a while, and joins it again.
func partitionWorker(p *run, rng *rand.Rand) func() {
	n := p.claimWorker(rng)
	if n == nil {
		return nil
	}
	from := time.Now()
	for i := range p.Schedulers {
		p.f.WorkerLink(i, n).Silence(fleet.ToTarget, fleet.FromTarget)
	}
	notice := time.AfterFunc(time.Duration(rng.Int64N(int64(2*time.Second))), func() { p.f.Discovery.Put(n, "left") })
	return func() {
		notice.Stop()
		for i := range p.Schedulers {
			p.f.WorkerLink(i, n).Heal()
			p.record.link(i, n.Name, from, time.Now())
		}
		p.wait.Go(func() {
			<-time.After(time.Second) // discovery notices later
			p.f.Discovery.Put(n, "active")
			p.release(n.Name)
		})
	}
}

// onLink lets a fault befall the link of one scheduler to one node.
func (p *run) onLink(rng *rand.Rand, begin func(*fleet.Link)) func() {
	n := p.claimWorker(rng)
	if n == nil {
		return nil
	}
	i, from := rng.IntN(p.Schedulers), time.Now()
	l := p.f.WorkerLink(i, n)
	begin(l)
	return func() {
		l.Heal()
		p.record.link(i, n.Name, from, time.Now())
		p.release(n.Name)
	}
}

func silentLink(p *run, rng *rand.Rand) func() {
	ways := [][]fleet.Direction{{fleet.ToTarget}, {fleet.FromTarget}, {fleet.ToTarget, fleet.FromTarget}}[rng.IntN(3)]
	return p.onLink(rng, func(l *fleet.Link) { l.Silence(ways...) })
}

func resetLink(p *run, rng *rand.Rand) func() { return p.onLink(rng, (*fleet.Link).Reset) }

func throttleLink(p *run, rng *rand.Rand) func() {
	delay := time.Duration(rng.Int64N(int64(50 * time.Millisecond)))
	return p.onLink(rng, func(l *fleet.Link) { l.Throttle(delay, 20_000) })
}

// killScheduler kills a process. It starts again with the list as it was at the run's start.
func killScheduler(p *run, rng *rand.Rand) func() {
	i, target := p.claimProcess(rng)
	if i < 0 {
		return nil
	}
	process := p.f.Processes[i]
	p.record.killed(i, time.Now())
	process.Kill()
	return func() { p.start(process, target) }
}

func (p *run) start(process *fleet.Process, target string) {
	if err := process.Start(); err != nil {
		p.logf("start of %s: %v", process.Name, err)
	}
	p.wait.Go(func() {
		if err := process.AwaitReady(readyLimit); err != nil {
			p.logf("%v", err)
		}
		p.release(target)
	})
}

func terminateScheduler(p *run, rng *rand.Rand) func() {
	i, target := p.claimProcess(rng)
	if i < 0 {
		return nil
	}
	process := p.f.Processes[i]
	p.record.terminated(i, time.Now())
	p.wait.Go(func() {
		if err := process.Terminate(); err != nil {
			p.record.failedExit()
			p.logf("%s ended: %v", process.Name, err)
		}
		p.start(process, target)
	})
	return func() {}
}

func stopScheduler(p *run, rng *rand.Rand) func() {
	i, target := p.claimProcess(rng)
	if i < 0 {
		return nil
	}
	p.f.Processes[i].Signal(syscall.SIGSTOP)
	return func() {
		p.f.Processes[i].Signal(syscall.SIGCONT)
		p.release(target)
	}
}

func reloadScheduler(p *run, rng *rand.Rand) func() {
	i, target := p.claimProcess(rng)
	if i < 0 {
		return nil
	}
	p.f.Processes[i].Signal(syscall.SIGHUP)
	return func() { p.release(target) }
}
