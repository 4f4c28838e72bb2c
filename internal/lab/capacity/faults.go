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
)

// FaultsOptions say what a trial of starts is made of: a real process is ended or killed and started
// again and again, while the endpoint list goes on changing and something happens to the file of its
// checkpoint. What a start costs is counted on the link to discovery, and each start has to come to
// the endpoint list as it is.
type FaultsOptions struct {
	Program           string
	Seed              uint64
	Workers           int
	Starts            int
	WithoutCheckpoint bool // the process writes no checkpoint
}

// DefaultFaults is the trial at the size designed for.
var DefaultFaults = FaultsOptions{Seed: 1, Workers: TargetWorkers, Starts: 20}

// callOverheadBytes is what a start may take besides entries: heads of calls and answers, and empty watches.
const callOverheadBytes = 8 << 10

// A faultsTrial is a running trial.
type faultsTrial struct {
	FaultsOptions
	*fleet.Fleet
	process            *fleet.Process
	rng                *rand.Rand
	workers            []int // numbers of those in the endpoint list
	nextWorker         int   // number of the next one
	changes            []endpointChange
	checkpointUsable   bool  // the process has left a checkpoint that can be used,
	checkpointVersion  int64 // of this version
	oldestDeltaVersion int64 // version since which discovery has the changes
	result             *FaultsResult
}

// The sizes that a trial may have.
const (
	minTrialWorkers, maxTrialWorkers = 200, 2 * TargetWorkers // fewer would all have left after some starts
	minTrialStarts, maxTrialStarts   = 2, 1000
)

// errInvalidSize says that a trial has a size that it cannot have.
var errInvalidSize = errors.New("a size is out of bounds")

// validate names a size that is out of bounds.
func (o FaultsOptions) validate() error {
	switch {
	case o.Workers < minTrialWorkers || o.Workers > maxTrialWorkers:
		return fmt.Errorf("%w: workers is %d, from %d to %d", errInvalidSize, o.Workers, minTrialWorkers, maxTrialWorkers)
	case o.Starts < minTrialStarts || o.Starts > maxTrialStarts:
		return fmt.Errorf("%w: starts is %d, from %d to %d", errInvalidSize, o.Starts, minTrialStarts, maxTrialStarts)
	}
	return nil
}

// Run runs the trial.
func (o FaultsOptions) Run(ctx context.Context, out io.Writer) (*FaultsResult, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	options := fleet.Options{Topology: controlTopology(), Program: o.Program, Admin: true}
	if !o.WithoutCheckpoint {
		options.OperatorFile = checkpointOperator
	}
	testFleet, err := fleet.New(options)
	if err != nil {
		return nil, err
	}
	defer testFleet.Close()
	trial := &faultsTrial{
		FaultsOptions: o,
		Fleet:         testFleet,
		process:       testFleet.Processes[0],
		rng:           rand.New(rand.NewPCG(o.Seed, 4)),
		result:        &FaultsResult{withoutCheckpoint: o.WithoutCheckpoint},
	}
	trial.addWorkers(o.Workers)
	if err := trial.runOnce(ctx, out, noFault); err != nil { // the first: there is no checkpoint yet
		return nil, err
	}
	for range o.Starts - 1 {
		fault := startFault(trial.rng.IntN(int(startFaultCount)))
		if trial.rng.IntN(2) == 0 {
			fault = noFault
		}
		if err := trial.runOnce(ctx, out, fault); err != nil {
			return nil, err
		}
	}
	trial.result.EndpointsBytes = len(testFleet.Discovery.ListJSON())
	return trial.result, nil
}

// runOnce is one run of the process: a fault, a start, changes, and its end.
func (t *faultsTrial) runOnce(ctx context.Context, out io.Writer, fault startFault) error {
	if err := t.injectFault(fault); err != nil {
		return err
	}
	t.churnWorkers()
	if fault == compacted { // also the changes just made, so that no checkpoint is new enough
		t.Discovery.Compact()
		t.oldestDeltaVersion = int64(t.Discovery.Version())
	}
	link := t.Links[0]
	bytesBefore, startedAt := link.ForwardedBytes(fleet.FromTarget), time.Now()
	if err := t.process.Start(); err != nil {
		return err
	}
	if err := awaitWorkerCount(ctx, t.process, len(t.workers)); err != nil {
		return fmt.Errorf("after %s: %w", startFaultNames[fault], err)
	}
	receivedBytes, seconds := link.ForwardedBytes(fleet.FromTarget)-bytesBefore, time.Since(startedAt).Seconds()
	t.recordStart(fault, receivedBytes, seconds)
	fmt.Fprintf(out, "start %2d after %-20s %8.1f KB from discovery, in force after %.2f s, %d entries changed\n",
		t.result.Starts, startFaultNames[fault]+":", float64(receivedBytes)/kilobyte, seconds,
		t.entriesChangedSinceCheckpoint())
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

// checkpointWriteTime is about how long the last write of a checkpoint takes after SIGTERM.
const checkpointWriteTime = 60 * time.Millisecond

// stopProcess ends the process in order, or kills it before its end or amid the last write of its
// checkpoint.
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
		if err := t.process.Terminate(); err != nil {
			t.result.uncleanExit = true
		}
	}
	t.Links[0].Reset() // no late answer to this run counts against the next
	return t.inspectCheckpoint()
}

// inspectCheckpoint finds out which checkpoint a process has left: an earlier one or its last one, and
// never a part.
func (t *faultsTrial) inspectCheckpoint() error {
	wasUsable := t.checkpointUsable
	t.checkpointUsable = false
	if t.WithoutCheckpoint {
		return nil
	}
	var saved platform.EndpointSnapshot
	err := checkpoint.File(t.process.CheckpointPath).Read(&saved)
	switch {
	case err == nil:
		_, err := checkpoint.New(t.process.CheckpointPath, &counters.Set{}).Load(t.Links[0].Addr().String(), time.Now())
		t.checkpointUsable, t.checkpointVersion = err == nil && saved.Version >= t.oldestDeltaVersion, saved.Version
	case wasUsable && !errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("a whole list was kept, and its replacement leaves: %w", err)
	}
	return nil
}

// judgeStart judges a start by the bytes that it took from discovery and the seconds until its list
// was in force.
func (t *faultsTrial) recordStart(fault startFault, receivedBytes int64, seconds float64) {
	result := t.result
	result.Starts++
	entryBytes := float64(len(t.Discovery.ListJSON())) / float64(len(t.workers)) // bytes
	bound := t.maxStartBytes(entryBytes)
	if t.checkpointUsable {
		result.WithCheckpoint++
		result.CheckpointBytes = max(result.CheckpointBytes, receivedBytes)
		result.CheckpointSeconds = max(result.CheckpointSeconds, seconds)
	} else {
		result.CompleteBytes = max(result.CompleteBytes, receivedBytes)
		result.CompleteSeconds = max(result.CompleteSeconds, seconds)
	}
	if receivedBytes > bound {
		result.ExceededBound = append(result.ExceededBound,
			fmt.Sprintf("%d (%s): %d of %d bytes", result.Starts, startFaultNames[fault], receivedBytes, bound))
	}
	halfListBytes := int64(entryBytes * float64(len(t.workers)) / 2)
	receivedComplete := receivedBytes > halfListBytes
	switch {
	case t.checkpointUsable && receivedComplete && bound < halfListBytes: // a list that misses a release takes as much
		result.CheckpointsIgnored++
	case !t.checkpointUsable && !receivedComplete:
		result.CheckpointsMisused++
	}
}

// entrySlack is what an entry may take over the mean.
const entrySizeTolerance = 1.02

// startBound is how many bytes a start may take, where an entry has so many.
func (t *faultsTrial) maxStartBytes(entryBytes float64) int64 {
	completeBytes := int64(entrySizeTolerance*entryBytes*float64(len(t.workers))) + callOverheadBytes
	if !t.checkpointUsable {
		return completeBytes
	}
	changed := t.entriesChangedSinceCheckpoint()
	deltaBytes := int64(entrySizeTolerance*entryBytes*float64(changed)) + callOverheadBytes
	if changed > len(t.workers) { // more than a list may have is given up for the complete one
		return deltaBytes + completeBytes
	}
	return deltaBytes
}
