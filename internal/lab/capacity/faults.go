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
	torn
	bitFlip
	emptied
	removed
	ofAnotherDiscovery
	fromLongAgo
	fromTheFuture
	compacted // discovery no longer has the changes since
	startFaults
)

var faultNames = [startFaults]string{"none", "torn", "bit flip", "emptied", "removed", "of another discovery", "from long ago", "from the future", "compacted"}

// FaultsOptions say what a trial is made of.
type FaultsOptions struct {
	Program string
	Seed    uint64
	Workers int
	Starts  int
	Without bool // the process keeps no list
}

// DefaultFaults is the trial at the size designed for.
var DefaultFaults = FaultsOptions{Seed: 1, Workers: TargetWorkers, Starts: 20}

// A FaultsResult is what a trial saw.
type FaultsResult struct {
	Starts, Used     int     // starts, and those with a list that could be used
	List             int     // bytes of the whole list at the end
	UsedBytes        int64   // most that a start took with a list that could be used,
	OtherBytes       int64   // and that any other took
	UsedTime         float64 // seconds until the list was in force, in the same way
	OtherTime        float64
	Over             []string // starts that took more than their bound
	Unused, Wrongly  int64    // usable lists that were not used, and unusable ones that were
	without, unended bool
}

// Line is the result in one line.
func (r *FaultsResult) Line() string {
	return fmt.Sprintf("capacity faults: starts %d, with a kept list %d, whole list %d KB, most from discovery %.1f KB with and %.1f KB without a kept list, slowest %.2f s and %.2f s, over their bound %d %v, kept lists not used %d, used wrongly %d",
		r.Starts, r.Used, r.List/kilobyte, float64(r.UsedBytes)/kilobyte, float64(r.OtherBytes)/kilobyte, r.UsedTime, r.OtherTime,
		len(r.Over), r.Over, r.Unused, r.Wrongly)
}

// OK reports whether each start kept its bound, and every list that could be used was.
func (r *FaultsResult) OK() bool {
	return len(r.Over) == 0 && r.Unused == 0 && r.Wrongly == 0 && !r.unended && (r.without || r.Used > 0)
}

// callBytes is what a start may take besides entries: heads of calls and answers, and empty watches.
const callBytes = 8 << 10

// A faultsTrial is a running one.
type faultsTrial struct {
	FaultsOptions
	*fleet.Fleet
	process *fleet.Process
	rng     *rand.Rand
	names   []int // of the workers in the list
	next    int   // name of the next one
	changes []listChange
	kept    bool  // a list that can be used is kept,
	version int64 // of this version
	oldest  int64 // version since which discovery has the changes
	result  *FaultsResult
}

// The sizes that a trial may have.
const (
	leastWorkers, mostWorkers = 200, 2 * TargetWorkers // fewer would all have left after some starts
	leastStarts, mostStarts   = 2, 1000
)

// errSize says that a trial has a size that it cannot have.
var errSize = errors.New("a size is out of bounds")

// check names a size that is out of bounds.
func (o FaultsOptions) check() error {
	switch {
	case o.Workers < leastWorkers || o.Workers > mostWorkers:
		return fmt.Errorf("%w: workers is %d, from %d to %d", errSize, o.Workers, leastWorkers, mostWorkers)
	case o.Starts < leastStarts || o.Starts > mostStarts:
		return fmt.Errorf("%w: starts is %d, from %d to %d", errSize, o.Starts, leastStarts, mostStarts)
	}
	return nil
}

// Run runs the trial.
func (o FaultsOptions) Run(ctx context.Context, out io.Writer) (*FaultsResult, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	options := fleet.Options{Topology: controlWorld(), Program: o.Program, Admin: true, Operator: `(foxlift (list (checkpoint "%s")))`}
	if o.Without {
		options.Operator = ""
	}
	f, err := fleet.New(options)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t := &faultsTrial{
		FaultsOptions: o, Fleet: f, process: f.Processes[0], rng: rand.New(rand.NewPCG(o.Seed, 4)),
		result: &FaultsResult{without: o.Without},
	}
	t.join(o.Workers)
	if err := t.life(ctx, out, noFault); err != nil { // the first: nothing is kept yet
		return nil, err
	}
	for range o.Starts - 1 {
		fault := startFault(t.rng.IntN(int(startFaults)))
		if t.rng.IntN(2) == 0 {
			fault = noFault
		}
		if err := t.life(ctx, out, fault); err != nil {
			return nil, err
		}
	}
	t.result.List = len(f.Discovery.Known())
	return t.result, nil
}

// A listChange is how many entries have changed with a version.
type listChange struct {
	version int64
	entries int
}

// noteChange notes that the last version has changed so many entries.
func (t *faultsTrial) noteChange(entries int) {
	t.changes = append(t.changes, listChange{int64(t.Discovery.Version()), entries})
}

// changedSince returns how many entries have changed since the list that is kept.
func (t *faultsTrial) changedSince() (entries int) {
	for _, c := range t.changes {
		if c.version > t.version {
			entries += c.entries
		}
	}
	return entries
}

// join adds workers to the list.
func (t *faultsTrial) join(count int) {
	tellHollow(t.Discovery, t.next, count)
	for range count {
		t.names = append(t.names, t.next)
		t.next++
	}
	t.noteChange(count)
}

// leave takes workers out of the list.
func (t *faultsTrial) leave(count int) {
	entries := make([]standin.Entry, count)
	for i := range entries {
		at := t.rng.IntN(len(t.names))
		entries[i] = standin.Entry{Host: workerName(t.names[at]), Health: "left"}
		t.names[at] = t.names[len(t.names)-1]
		t.names = t.names[:len(t.names)-1]
	}
	t.Discovery.Tell(entries...)
	t.noteChange(count)
}

// change lets some workers join and some leave.
func (t *faultsTrial) change() {
	t.join(1 + t.rng.IntN(40))
	t.leave(1 + t.rng.IntN(20))
}

// life is one life of the process: a fault, a start, changes, and its end.
func (t *faultsTrial) life(ctx context.Context, out io.Writer, fault startFault) error {
	if err := t.spoil(fault); err != nil {
		return err
	}
	t.change()
	if fault == compacted { // also the changes just made, so that nobody's list is new enough
		t.Discovery.Compact()
		t.oldest = int64(t.Discovery.Version())
	}
	link := t.Links[0]
	before, began := link.Carried(fleet.Back), time.Now()
	if err := t.process.Start(); err != nil {
		return err
	}
	if err := awaitPool(ctx, t.process, len(t.names)); err != nil {
		return fmt.Errorf("after %s: %w", faultNames[fault], err)
	}
	bytes, took := link.Carried(fleet.Back)-before, time.Since(began).Seconds()
	t.note(fault, bytes, took)
	fmt.Fprintf(out, "start %2d after %-20s %8.1f KB from discovery, in force after %.2f s, %d entries changed\n",
		t.result.Starts, faultNames[fault]+":", float64(bytes)/kilobyte, took, t.changedSince())
	event := lifeEvent(t.rng.IntN(int(lifeEvents)))
	fmt.Fprintf(out, "   meets %s at version %d\n", eventNames[event], t.Discovery.Version())
	if err := t.meet(event); err != nil {
		return err
	}
	if err := awaitPool(ctx, t.process, len(t.names)); err != nil {
		return fmt.Errorf("after %s: %w", eventNames[event], err)
	}
	return t.finish()
}

// writeTime is about how long the last write of a list takes after SIGTERM.
const writeTime = 60 * time.Millisecond

// finish ends the process in order, or kills it before its end or amid the last write of its list.
func (t *faultsTrial) finish() error {
	switch t.rng.IntN(4) {
	case 0:
		t.process.Kill()
	case 1:
		if err := t.process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-time.After(time.Duration(t.rng.IntN(int(writeTime))))
		t.process.Kill()
	default:
		if err := t.process.End(); err != nil {
			t.result.unended = true
		}
	}
	t.Links[0].Reset() // no late answer to this life counts against the next
	return t.lookAtKept()
}

// lookAtKept finds out which list a process has left: an earlier one or its last one, and never a part.
func (t *faultsTrial) lookAtKept() error {
	was := t.kept
	t.kept = false
	if t.Without {
		return nil
	}
	var saved platform.EndpointSnapshot
	err := checkpoint.File(t.process.Kept).Read(&saved)
	switch {
	case err == nil:
		_, err := checkpoint.New(t.process.Kept, &counters.Set{}).Load(t.Links[0].Addr().String(), time.Now())
		t.kept, t.version = err == nil && saved.Version >= t.oldest, saved.Version
	case was && !errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("a whole list was kept, and its replacement leaves: %w", err)
	}
	return nil
}

// note judges a start.
func (t *faultsTrial) note(fault startFault, bytes int64, took float64) {
	r := t.result
	r.Starts++
	entry := float64(len(t.Discovery.Known())) / float64(len(t.names))
	kept := t.kept
	bound := int64(1.02*entry*float64(len(t.names))) + callBytes
	if kept {
		whole := bound
		bound = int64(1.02*entry*float64(t.changedSince())) + callBytes
		if t.changedSince() > len(t.names) { // more than a list may have is given up for the whole one
			bound += whole
		}
		r.Used++
		r.UsedBytes, r.UsedTime = max(r.UsedBytes, bytes), max(r.UsedTime, took)
	} else {
		r.OtherBytes, r.OtherTime = max(r.OtherBytes, bytes), max(r.OtherTime, took)
	}
	if bytes > bound {
		r.Over = append(r.Over, fmt.Sprintf("%d (%s): %d of %d bytes", r.Starts, faultNames[fault], bytes, bound))
	}
	half := int64(entry * float64(len(t.names)) / 2)
	if whole := bytes > half; kept && whole && bound < half { // a list that misses a release takes as much
		r.Unused++
	} else if !kept && !whole {
		r.Wrongly++
	}
}

// spoil does a fault to what is kept, or to discovery.
func (t *faultsTrial) spoil(fault startFault) error {
	path := t.process.Kept
	t.kept = t.kept && fault == noFault
	switch {
	case t.Without || fault == noFault || fault == compacted:
		return nil
	case fault == removed:
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		return nil
	case fault == ofAnotherDiscovery:
		return t.rewrite(func(s *platform.EndpointSnapshot) { s.Discovery = "127.0.0.9:1" })
	case fault == fromLongAgo:
		return t.rewrite(func(s *platform.EndpointSnapshot) { s.TakenAt = s.TakenAt.Add(-checkpoint.MaxAge - time.Hour) })
	case fault == fromTheFuture:
		return t.rewrite(func(s *platform.EndpointSnapshot) { s.TakenAt = s.TakenAt.Add(checkpoint.MaxAge) })
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	switch fault {
	case torn:
		data = data[:t.rng.IntN(len(data))]
	case bitFlip:
		data[t.rng.IntN(len(data))] ^= 1 << t.rng.IntN(8)
	case emptied:
		data = nil
	}
	return os.WriteFile(path, data, 0o600)
}

// rewrite changes a list that is kept, in its own form.
func (t *faultsTrial) rewrite(change func(*platform.EndpointSnapshot)) error {
	file := checkpoint.File(t.process.Kept)
	var saved platform.EndpointSnapshot
	if err := file.Read(&saved); err != nil {
		return nil // there is none, or it was spoilt before: the start is without one either way
	}
	change(&saved)
	return file.Write(saved)
}
