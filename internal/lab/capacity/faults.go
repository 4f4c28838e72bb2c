package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/checkpoint"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/platform"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// A trial of starts: a real process is ended or killed and started again and again, while the list goes
// on changing and something happens to the file in which it keeps its list. What a start costs is
// counted on the link to discovery, and each start has to come to the list as it is.

// A startFault is what happens between the end of one life and the next.
type startFault int

const (
	noFault startFault = iota
	truncated
	bitFlip
	emptied
	deleted
	otherDiscovery
	expired
	futureTimestamp
	compacted // discovery no longer has the changes since
	startFaultCount
)

var startFaultNames = [startFaultCount]string{"none", "torn", "bit flip", "emptied", "removed", "of another discovery", "from long ago", "from the future", "compacted"}

// FaultsOptions say what a trial is made of.
type FaultsOptions struct {
	Program           string
	Seed              uint64
	Workers           int
	Starts            int
	WithoutCheckpoint bool // the process keeps no list
}

// DefaultFaults is the trial at the size designed for.
var DefaultFaults = FaultsOptions{Seed: 1, Workers: TargetWorkers, Starts: 20}

// A FaultsResult is what a trial saw.
type FaultsResult struct {
	Starts, WithCheckpoint                 int     // starts, and those with a list that could be used
	ListBytes                              int     // bytes of the whole list at the end
	CheckpointBytes                        int64   // most that a start took with a list that could be used,
	CompleteBytes                          int64   // and that any other took
	CheckpointSeconds                      float64 // seconds until the list was in force, in the same way
	CompleteSeconds                        float64
	OverBound                              []string // starts that took more than their bound
	CheckpointsIgnored, CheckpointsMisused int64    // usable lists that were not used, and unusable ones that were
	withoutCheckpoint, uncleanExit         bool
}

// Line is the result in one line.
func (r *FaultsResult) Line() string {
	return fmt.Sprintf("capacity faults: starts %d, with a kept list %d, whole list %d KB, most from discovery %.1f KB with and %.1f KB without a kept list, slowest %.2f s and %.2f s, over their bound %d %v, kept lists not used %d, used wrongly %d",
		r.Starts, r.WithCheckpoint, r.ListBytes/kilobyte, float64(r.CheckpointBytes)/kilobyte, float64(r.CompleteBytes)/kilobyte, r.CheckpointSeconds, r.CompleteSeconds,
		len(r.OverBound), r.OverBound, r.CheckpointsIgnored, r.CheckpointsMisused)
}

// OK reports whether each start kept its bound, and every list that could be used was.
func (r *FaultsResult) OK() bool {
	return len(r.OverBound) == 0 && r.CheckpointsIgnored == 0 && r.CheckpointsMisused == 0 && !r.uncleanExit && (r.withoutCheckpoint || r.WithCheckpoint > 0)
}

// callOverheadBytes is what a start may take besides entries: heads of calls and answers, and empty watches.
const callOverheadBytes = 8 << 10

// A faultsTrial is a running one.
type faultsTrial struct {
	FaultsOptions
	*fleet.Fleet
	process           *fleet.Process
	rng               *rand.Rand
	workers           []int // of the workers in the list
	nextWorker        int   // name of the next one
	changes           []endpointChange
	checkpointUsable  bool  // a list that can be used is kept,
	checkpointVersion int64 // of this version
	oldestDelta       int64 // version since which discovery has the changes
	result            *FaultsResult
}

// The sizes that a trial may have.
const (
	minWorkers, maxWorkers = 200, 2 * TargetWorkers // fewer would all have left after some starts
	minStarts, maxStarts   = 2, 1000
)

// errSizeOutOfBounds says that a trial has a size that it cannot have.
var errSizeOutOfBounds = errors.New("a size is out of bounds")

// check names a size that is out of bounds.
func (o FaultsOptions) validate() error {
	switch {
	case o.Workers < minWorkers || o.Workers > maxWorkers:
		return fmt.Errorf("%w: workers is %d, from %d to %d", errSizeOutOfBounds, o.Workers, minWorkers, maxWorkers)
	case o.Starts < minStarts || o.Starts > maxStarts:
		return fmt.Errorf("%w: starts is %d, from %d to %d", errSizeOutOfBounds, o.Starts, minStarts, maxStarts)
	}
	return nil
}

// Run runs the trial.
func (o FaultsOptions) Run(ctx context.Context, out io.Writer) (*FaultsResult, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	options := fleet.Options{Topology: controlTopology(), Program: o.Program, Admin: true, Operator: `(foxlift (list (checkpoint "%s")))`}
	if o.WithoutCheckpoint {
		options.Operator = ""
	}
	f, err := fleet.New(options)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t := &faultsTrial{
		FaultsOptions: o, Fleet: f, process: f.Processes[0], rng: rand.New(rand.NewPCG(o.Seed, 4)),
		result: &FaultsResult{withoutCheckpoint: o.WithoutCheckpoint},
	}
	t.addWorkers(o.Workers)
	if err := t.runOnce(ctx, out, noFault); err != nil { // the first: nothing is kept yet
		return nil, err
	}
	for range o.Starts - 1 {
		fault := startFault(t.rng.IntN(int(startFaultCount)))
		if t.rng.IntN(2) == 0 {
			fault = noFault
		}
		if err := t.runOnce(ctx, out, fault); err != nil {
			return nil, err
		}
	}
	t.result.ListBytes = len(f.Discovery.Known())
	return t.result, nil
}

// An endpointChange is how many entries have changed with a version.
type endpointChange struct {
	version int64
	entries int
}

// recordChange notes that the last version has changed so many entries.
func (t *faultsTrial) recordChange(entries int) {
	t.changes = append(t.changes, endpointChange{int64(t.Discovery.Version()), entries})
}

// changedSince returns how many entries have changed since the list that is kept.
func (t *faultsTrial) changedSince() (entries int) {
	for _, c := range t.changes {
		if c.version > t.checkpointVersion {
			entries += c.entries
		}
	}
	return entries
}

// join adds workers to the list.
func (t *faultsTrial) addWorkers(count int) {
	announceHollowWorkers(t.Discovery, t.nextWorker, count)
	for range count {
		t.workers = append(t.workers, t.nextWorker)
		t.nextWorker++
	}
	t.recordChange(count)
}

// leave takes workers out of the list.
func (t *faultsTrial) removeWorkers(count int) {
	entries := make([]standin.Entry, count)
	for i := range entries {
		at := t.rng.IntN(len(t.workers))
		entries[i] = standin.Entry{Host: workerName(t.workers[at]), Health: "left"}
		t.workers[at] = t.workers[len(t.workers)-1]
		t.workers = t.workers[:len(t.workers)-1]
	}
	t.Discovery.Tell(entries...)
	t.recordChange(count)
}

// change lets some workers join and some leave.
func (t *faultsTrial) changeList() {
	t.addWorkers(1 + t.rng.IntN(40))
	t.removeWorkers(1 + t.rng.IntN(20))
}

// life is one life of the process: a fault, a start, changes, and its end.
func (t *faultsTrial) runOnce(ctx context.Context, out io.Writer, fault startFault) error {
	if err := t.injectFault(fault); err != nil {
		return err
	}
	t.changeList()
	if fault == compacted { // also the changes just made, so that nobody's list is new enough
		t.Discovery.Compact()
		t.oldestDelta = int64(t.Discovery.Version())
	}
	link := t.Links[0]
	before, began := link.Carried(fleet.Back), time.Now()
	if err := t.process.Start(); err != nil {
		return err
	}
	if err := awaitWorkerCount(ctx, t.process, len(t.workers)); err != nil {
		return fmt.Errorf("after %s: %w", startFaultNames[fault], err)
	}
	bytes, took := link.Carried(fleet.Back)-before, time.Since(began).Seconds()
	t.judgeStart(fault, bytes, took)
	fmt.Fprintf(out, "start %2d after %-20s %8.1f KB from discovery, in force after %.2f s, %d entries changed\n",
		t.result.Starts, startFaultNames[fault]+":", float64(bytes)/kilobyte, took, t.changedSince())
	event := runEvent(t.rng.IntN(int(runEventCount)))
	fmt.Fprintf(out, "   meets %s at version %d\n", runEventNames[event], t.Discovery.Version())
	if err := t.injectEvent(event); err != nil {
		return err
	}
	if err := awaitWorkerCount(ctx, t.process, len(t.workers)); err != nil {
		return fmt.Errorf("after %s: %w", runEventNames[event], err)
	}
	return t.stopProcess()
}

// checkpointWriteTime is about how long the last write of a list takes after SIGTERM.
const checkpointWriteTime = 60 * time.Millisecond

// finish ends the process in order, or kills it before its end or amid the last write of its list.
func (t *faultsTrial) stopProcess() error {
	switch t.rng.IntN(4) {
	case 0:
		t.process.Kill()
	case 1:
		if err := t.process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-time.After(time.Duration(t.rng.IntN(int(checkpointWriteTime))))
		t.process.Kill()
	default:
		if err := t.process.End(); err != nil {
			t.result.uncleanExit = true
		}
	}
	t.Links[0].Reset() // no late answer to this life counts against the next
	return t.inspectCheckpoint()
}

// inspectCheckpoint finds out which list a process has left: an earlier one or its last one, and never a part.
func (t *faultsTrial) inspectCheckpoint() error {
	was := t.checkpointUsable
	t.checkpointUsable = false
	if t.WithoutCheckpoint {
		return nil
	}
	var saved platform.EndpointSnapshot
	err := checkpoint.File(t.process.Kept).Read(&saved)
	switch {
	case err == nil:
		_, err := checkpoint.New(t.process.Kept, &counters.Set{}).Load(t.Links[0].Addr().String(), time.Now())
		t.checkpointUsable, t.checkpointVersion = err == nil && saved.Version >= t.oldestDelta, saved.Version
	case was && !errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("a whole list was kept, and its replacement leaves: %w", err)
	}
	return nil
}

// note judges a start.
func (t *faultsTrial) judgeStart(fault startFault, bytes int64, took float64) {
	r := t.result
	r.Starts++
	entry := float64(len(t.Discovery.Known())) / float64(len(t.workers))
	kept := t.checkpointUsable
	bound := int64(1.02*entry*float64(len(t.workers))) + callOverheadBytes
	if kept {
		whole := bound
		bound = int64(1.02*entry*float64(t.changedSince())) + callOverheadBytes
		if t.changedSince() > len(t.workers) { // more than a list may have is given up for the whole one
			bound += whole
		}
		r.WithCheckpoint++
		r.CheckpointBytes, r.CheckpointSeconds = max(r.CheckpointBytes, bytes), max(r.CheckpointSeconds, took)
	} else {
		r.CompleteBytes, r.CompleteSeconds = max(r.CompleteBytes, bytes), max(r.CompleteSeconds, took)
	}
	if bytes > bound {
		r.OverBound = append(r.OverBound, fmt.Sprintf("%d (%s): %d of %d bytes", r.Starts, startFaultNames[fault], bytes, bound))
	}
	half := int64(entry * float64(len(t.workers)) / 2)
	if whole := bytes > half; kept && whole && bound < half { // a list that misses a release takes as much
		r.CheckpointsIgnored++
	} else if !kept && !whole {
		r.CheckpointsMisused++
	}
}

// spoil does a fault to what is kept, or to discovery.
func (t *faultsTrial) injectFault(fault startFault) error {
	path := t.process.Kept
	t.checkpointUsable = t.checkpointUsable && fault == noFault
	switch {
	case t.WithoutCheckpoint || fault == noFault || fault == compacted:
		return nil
	case fault == deleted:
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		return nil
	case fault == otherDiscovery:
		return t.rewriteCheckpoint(func(s *platform.EndpointSnapshot) { s.Discovery = "127.0.0.9:1" })
	case fault == expired:
		return t.rewriteCheckpoint(func(s *platform.EndpointSnapshot) { s.TakenAt = s.TakenAt.Add(-checkpoint.MaxAge - time.Hour) })
	case fault == futureTimestamp:
		return t.rewriteCheckpoint(func(s *platform.EndpointSnapshot) { s.TakenAt = s.TakenAt.Add(checkpoint.MaxAge) })
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	switch fault {
	case truncated:
		data = data[:t.rng.IntN(len(data))]
	case bitFlip:
		data[t.rng.IntN(len(data))] ^= 1 << t.rng.IntN(8)
	case emptied:
		data = nil
	}
	return os.WriteFile(path, data, 0o600)
}

// rewrite changes a list that is kept, in its own form.
func (t *faultsTrial) rewriteCheckpoint(change func(*platform.EndpointSnapshot)) error {
	file := checkpoint.File(t.process.Kept)
	var saved platform.EndpointSnapshot
	if err := file.Read(&saved); err != nil {
		return nil // there is none, or it was spoilt before: the start is without one either way
	}
	change(&saved)
	return file.Write(saved)
}
