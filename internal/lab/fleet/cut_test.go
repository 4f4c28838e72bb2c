package fleet

import (
	"sync"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// drainGrace is how long after a change of the endpoint list sends may still begin: the drain grace in
// the settings that lab.Topology generates, plus the slack of the rules on sockets.
const drainGrace = 750*time.Millisecond + 50*time.Millisecond

// Workers are unreachable for the schedulers under load while the endpoint list says that they have
// left. When they can be reached again, they must receive no request that was written before: that
// would be a send to a removed worker, delayed by the whole partition.
func TestPartitionedWorkersGetNoLateRequests(t *testing.T) {
	f := newSmallFleet(t, 2, func(o *Options) {
		o.WorkerLinks = true
		for i := range o.Classes {
			o.Classes[i].Deadline = 20 * time.Second // requests outlive the partition
		}
	})
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	cut := f.Workers()[:4]
	for _, worker := range cut {
		blockLinks(f, worker)
	}
	load := f.StartLoad("cut", 200, 5)
	for _, worker := range cut {
		await(t, worker.Name+" has pending requests during the partition", func() bool { return pendingBytes(f, worker) > 0 })
	}
	for _, worker := range cut {
		f.Discovery.Put(worker, standin.Left)
	}
	awaitVersion(t, f, f.Processes...)
	notifiedAt := time.Now()
	<-time.After(drainGrace)
	for _, worker := range cut {
		healLinks(f, worker)
	}
	for _, worker := range cut {
		await(t, worker.Name+" receives the data that was held back", func() bool { return pendingBytes(f, worker) == 0 })
	}
	stopAndCheck(t, f, load, standin.Tally{})
	for _, worker := range cut {
		if late := worker.LastRequestTime().Sub(notifiedAt); late > 0 {
			t.Errorf("request reached %s %v after all schedulers were notified that it left, want none", worker.Name, late)
		}
	}
}

// blockLinks holds back all data between the schedulers and a worker.
func blockLinks(f *Fleet, worker *standin.Worker) {
	for i := range f.Processes {
		f.WorkerLink(i, worker).Block(ToTarget, FromTarget)
	}
}

// healLinks forwards the data again.
func healLinks(f *Fleet, worker *standin.Worker) {
	for i := range f.Processes {
		f.WorkerLink(i, worker).Heal()
	}
}

// pendingBytes returns how many bytes for a worker are held back.
func pendingBytes(f *Fleet, worker *standin.Worker) (sum int) {
	for i := range f.Processes {
		sum += f.WorkerLink(i, worker).PendingBytes()
	}
	return sum
}

// awaitVersion waits until discovery has sent its current version of the endpoint list to each of the
// processes.
func awaitVersion(t *testing.T, f *Fleet, processes ...*Process) {
	t.Helper()
	version := f.Discovery.Version()
	for _, p := range processes {
		await(t, p.Name+" has the newest list", func() bool { return f.Discovery.SentVersion(p.Name) >= version })
	}
}

// A scheduler is killed, workers leave the endpoint list while it is down, and it starts again with
// its old cached list. While discovery is reachable but answers late, the scheduler must send nothing
// to these workers.
func TestExpiredEndpointsSendNothingToRemovedWorkers(t *testing.T) {
	f := newSmallFleet(t, 2, nil)
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	p := f.Processes[0]
	p.Kill()
	left := f.Workers()[:4]
	for i, worker := range left {
		f.Discovery.Put(worker, []string{standin.Left, standin.Leaving}[i%2])
	}
	awaitVersion(t, f, f.Processes[1])
	for _, link := range f.Links {
		link.Throttle(500*time.Millisecond, 0) // in each direction, so the answer takes a second longer
	}
	restarted := time.Now()
	must(t, p.Start())
	await(t, p.Name+" listens", func() bool { return reachable(p.Addr) })
	early := &standin.Client{
		Addr:      p.Addr,
		Tenant:    "all",
		Class:     "ratify",
		Remaining: 4 * time.Second,
		Name:      "early/ratify/0",
	}
	var jobs sync.WaitGroup
	for range 8 {
		jobs.Go(func() { early.Send() })
	}
	checkServes(t, f, "restarted")
	jobs.Wait()
	if tally := early.TakeTally(); tally.Lost+tally.Failed > 0 {
		t.Errorf("jobs sent before discovery's answer: tally %+v, want none lost or failed", tally)
	}
	for _, worker := range left {
		if late := worker.LastRequestTime().Sub(restarted); late > 0 {
			t.Errorf("request reached removed worker %s %v after the restart, want none", worker.Name, late)
		}
	}
}

// reachable reports whether a process listens at an address.
func reachable(addr string) bool {
	c, err := standin.Dial(addr, 0)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
