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

// FaultsOptions are the options of a trial of starts: a real scheduler process is repeatedly terminated or killed and
// started again, while the endpoint list changes and faults are injected into the file of its checkpoint. The cost of a
// start is counted in bytes on the link to discovery, and each start has to reach the current endpoint list.
type FaultsOptions struct {
	Program           string // path of the scheduler's binary
	Seed              uint64 // of the random choices of faults, changes and stops
	Workers           int    // workers in the endpoint list at the first start
	Starts            int    // starts of the process
	WithoutCheckpoint bool   // the process writes no checkpoint
}

// DefaultFaults are the options of a trial at the target size.
var DefaultFaults = FaultsOptions{Seed: 1, Workers: TargetWorkers, Starts: 20}

// callOverheadBytes bounds the bytes that a start may transfer besides entries: headers of calls and responses, and
// watches without changes.
const callOverheadBytes = 8 << 10

// A faultsTrial is the state of a running trial.
type faultsTrial struct {
	FaultsOptions
	*fleet.Fleet
	process            *fleet.Process
	rng                *rand.Rand
	workers            []int            // numbers of the workers in the endpoint list
	nextWorker         int              // number of the next worker to be added
	changes            []endpointChange // since the start of the trial or the last version regression
	checkpointUsable   bool             // the process has left a checkpoint that the next start can use
	checkpointVersion  int64            // version of the endpoint list in the last checkpoint that was read
	oldestDeltaVersion int64            // oldest version for which discovery can send the changes since
	result             *FaultsResult
}

// Bounds on the options of a trial.
const (
	minTrialWorkers, maxTrialWorkers = 200, 2 * TargetWorkers // fewer workers would all have left after some starts
	minTrialStarts, maxTrialStarts   = 2, 1000
)

// errInvalidSize reports a size of a trial that is out of bounds.
var errInvalidSize = errors.New("size out of bounds")

// validate returns an error that names the first option that is out of bounds.
func (o FaultsOptions) validate() error {
	switch {
	case o.Workers < minTrialWorkers || o.Workers > maxTrialWorkers:
		return fmt.Errorf("%w: %d workers, want %d to %d", errInvalidSize, o.Workers, minTrialWorkers, maxTrialWorkers)
	case o.Starts < minTrialStarts || o.Starts > maxTrialStarts:
		return fmt.Errorf("%w: %d starts, want %d to %d", errInvalidSize, o.Starts, minTrialStarts, maxTrialStarts)
	}
	return nil
}

// Run runs the trial and prints each start to out. It returns an error if a start does not reach the current endpoint
// list in time; FaultsResult.OK reports other violations.
func (o FaultsOptions) Run(ctx context.Context, out io.Writer) (*FaultsResult, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	options := fleet.Options{Topology: controlTopology(), Program: o.Program, Admin: true}
	if !o.WithoutCheckpoint {
		options.OperatorFile = checkpointOperatorConfig
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
	if err := trial.runOnce(ctx, out, noFault); err != nil { // the first start: there is no checkpoint yet
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

// runOnce runs the process once: it injects a fault, starts the process, changes the endpoint list amid an event and
// stops the process.
func (t *faultsTrial) runOnce(ctx context.Context, out io.Writer, fault startFault) error {
	if err := t.injectFault(fault); err != nil {
		return err
	}
	t.churnWorkers()
	if fault == compacted { // discards the changes just made too: no checkpoint is recent enough
		t.Discovery.Compact()
		t.oldestDeltaVersion = int64(t.Discovery.Version())
	}
	link := t.Links[0]
	bytesBefore, startedAt := link.ForwardedBytes(fleet.FromTarget), time.Now()
	if err := t.process.Start(); err != nil {
		return err
	}
	if err := awaitWorkerCount(ctx, t.process, len(t.workers)); err != nil {
		return fmt.Errorf("start after the fault %q: %w", startFaultNames[fault], err)
	}
	receivedBytes, seconds := link.ForwardedBytes(fleet.FromTarget)-bytesBefore, time.Since(startedAt).Seconds()
	t.recordStart(fault, receivedBytes, seconds)
	fmt.Fprintf(out, "start %2d, fault %-20s %8.1f KB from discovery, list in force after %.2f s, %d entries changed\n",
		t.result.Starts, startFaultNames[fault]+":", float64(receivedBytes)/kilobyte, seconds,
		t.entriesChangedSinceCheckpoint())
	event := runEvent(t.rng.IntN(int(runEventCount)))
	fmt.Fprintf(out, "   event: %s at version %d\n", runEventNames[event], t.Discovery.Version())
	if err := t.injectEvent(event); err != nil {
		return err
	}
	if err := awaitWorkerCount(ctx, t.process, len(t.workers)); err != nil {
		return fmt.Errorf("after the event %q: %w", runEventNames[event], err)
	}
	return t.stopProcess()
}

// checkpointWriteTime is roughly the time from SIGTERM until the last checkpoint is written.
const checkpointWriteTime = 60 * time.Millisecond

// stopProcess terminates the process gracefully, kills it, or kills it up to checkpointWriteTime after SIGTERM, while
// it may be writing its last checkpoint.
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
	t.Links[0].Reset() // so that a late response to this run is not counted in the next one
	return t.inspectCheckpoint()
}

// inspectCheckpoint reads the checkpoint that the process has left. It returns an error if the process has replaced a
// usable checkpoint with a file that cannot be read, such as a partial one.
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
		return fmt.Errorf("usable checkpoint replaced by one that cannot be read: %w", err)
	}
	return nil
}

// recordStart adds a start to the result, with the bytes that it received from discovery and the seconds until its
// endpoint list was in force, and records violations of the bounds on them.
func (t *faultsTrial) recordStart(fault startFault, receivedBytes int64, seconds float64) {
	result := t.result
	result.Starts++
	entryBytes := float64(len(t.Discovery.ListJSON())) / float64(len(t.workers))
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
	case t.checkpointUsable && receivedComplete && bound < halfListBytes: // after a release the delta is as large
		result.CheckpointsIgnored++
	case !t.checkpointUsable && !receivedComplete:
		result.CheckpointsMisused++
	}
}

// entrySizeTolerance bounds the size of an entry as a multiple of the mean size.
const entrySizeTolerance = 1.02

// maxStartBytes returns the most bytes that a start may receive from discovery, if an entry has a mean size of
// entryBytes.
func (t *faultsTrial) maxStartBytes(entryBytes float64) int64 {
	completeBytes := int64(entrySizeTolerance*entryBytes*float64(len(t.workers))) + callOverheadBytes
	if !t.checkpointUsable {
		return completeBytes
	}
	changed := t.entriesChangedSinceCheckpoint()
	deltaBytes := int64(entrySizeTolerance*entryBytes*float64(changed)) + callOverheadBytes
	if changed > len(t.workers) { // a delta with more entries than the list is abandoned for the complete list
		return deltaBytes + completeBytes
	}
	return deltaBytes
}
