package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// Time limits of a takeover, as the successor process applies them.
const (
	endpointsTimeout        = 4 * time.Second          // for an answer of discovery; then the list at hand is used
	startPollInterval       = 10 * time.Millisecond    // between checks of a condition that the start waits for
	predecessorStateTimeout = 5 * takeoverPollInterval // for the predecessor's first save of its state
	maxStateAge             = 2 * time.Second          // an older state was saved by a process that has exited

	// readyTimeout is the time after the start of the process at which a successor reports that it is ready
	// even if its predecessor still has open jobs. The platform allows 6 s.
	readyTimeout = 5 * time.Second

	// minOverlap is the minimum time between listening and reporting that this process is ready: until then
	// clients' idle connections to the predecessor may still carry new jobs.
	minOverlap = 500 * time.Millisecond
)

// errStaleState is returned for a state whose time differs from now by more than maxStateAge: the process
// that saved it has exited.
var errStaleState = errors.New("the predecessor's saved state is stale")

// A handover is what a process saves for its successor.
type handover struct {
	core.State
	Discovery string                     `json:"Discovery"`           // address of the discovery that is polled
	Endpoints *platform.EndpointSnapshot `json:"Endpoints,omitempty"` // nil until discovery has confirmed a list
}

// A handoverProgress is the part of a handover that the successor polls.
type handoverProgress struct {
	core.DrainProgress
	IDs       []string                   `json:"IDs"` // as in core.State
	Discovery string                     `json:"Discovery"`
	Endpoints *platform.EndpointSnapshot `json:"Endpoints"`
}

// runSuccessor takes over from the predecessor. It begins with the predecessor's endpoint list, waits for discovery and
// for the predecessor's state, and then serves clients beside the predecessor. If it cannot listen, Failed delivers the
// error. It is a background task; a shutdown ends it.
func (d *Daemon) runSuccessor() {
	d.divideLimits(twoProcesses)
	d.Core.AwaitPredecessorIDs()
	shuttingDown := d.lifecycle.shuttingDown
	if d.awaitPredecessorState(shuttingDown) != nil {
		return
	}
	if progress, err := d.loadPredecessorProgress(); err == nil {
		d.adoptDiscovery(progress)
		d.adoptEndpoints(progress)
	}
	d.platform.StartWatch()
	if d.awaitEndpoints(shuttingDown) != nil || d.awaitPredecessorState(shuttingDown) != nil {
		return
	}
	d.lifecycle.serveUnlessShuttingDown(func() {
		d.restoreState(d.lifecycle.drained)
		if err := d.serve(); err != nil {
			d.lifecycle.failures <- err
			return
		}
		d.lifecycle.startTask(d.watchOtherProcess)
	})
}

// adoptDiscovery makes the platform poll the predecessor's discovery, if the configuration file names it: a reload has
// moved the predecessor there, and the variable LB_DISCOVERY that this process was started with is from before the
// reload. It must be called before StartWatch.
func (d *Daemon) adoptDiscovery(progress *handoverProgress) {
	reloaded, err := config.Reload(d.options.Getenv)
	if err != nil || reloaded.Discovery != progress.Discovery {
		return
	}
	d.platform.SetDiscovery(reloaded.Discovery)
}

// adoptEndpoints uses the endpoint list that the predecessor saved, if it has saved one: the cached list of the
// configuration may be from before changes of which the scheduler was notified.
func (d *Daemon) adoptEndpoints(progress *handoverProgress) {
	if progress.Endpoints == nil {
		return
	}
	if err := d.platform.AdoptEndpoints(progress.Endpoints); err != nil {
		d.log.Warn("takeover: cannot use the predecessor's endpoint list", zap.Error(err))
	}
}

// awaitEndpoints waits until discovery has sent the endpoint list and the core accepts jobs or, endpointsTimeout
// after the start of the process, until a list with a live worker is available, which may be the cached one. The second
// wait has no limit. It returns an error only if ctx is done.
func (d *Daemon) awaitEndpoints(ctx context.Context) error {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	timeout := time.After(endpointsTimeout - time.Since(d.lifecycle.startedAt))
	ready := d.platform.HasSynced
	for !ready() {
		select {
		case <-ticker.C:
		case <-timeout:
			ready = d.Core.HasWorkers
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// awaitPredecessorState waits until the predecessor has saved its state. The predecessor checks for a
// successor every takeoverPollInterval, but may never save a state: after predecessorStateTimeout the wait
// ends without an error. It returns an error only if ctx is done.
func (d *Daemon) awaitPredecessorState(ctx context.Context) error {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	timeout := time.After(predecessorStateTimeout)
	for {
		if _, err := d.loadPredecessorProgress(); err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-timeout:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// restoreState loads the predecessor's state into the core. If the state cannot be used, it logs and counts
// that, and the core starts without it.
func (d *Daemon) restoreState(ctx context.Context) {
	if err := d.applyPredecessorState(ctx); err != nil {
		d.Counters.Add("upgrades.without_state")
		d.log.Warn("takeover: starting without the predecessor's state", zap.Error(err))
	}
}

// applyPredecessorState loads the predecessor's state, checks its age and restores it in the core.
func (d *Daemon) applyPredecessorState(ctx context.Context) error {
	state := &core.State{}
	if err := d.takeover.lock.LoadState(state); err != nil {
		return err
	}
	if err := checkStateAge(&state.DrainProgress); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return d.Core.RestoreState(ctx, state)
}

// loadPredecessorProgress loads the part of the predecessor's state that a successor polls. It returns an error if
// there is no state, or if the state is unreadable or stale.
func (d *Daemon) loadPredecessorProgress() (*handoverProgress, error) {
	progress := &handoverProgress{}
	if err := d.takeover.lock.LoadState(progress); err != nil {
		return nil, err
	}
	if err := checkStateAge(&progress.DrainProgress); err != nil {
		return nil, err
	}
	return progress, nil
}

// checkStateAge returns errStaleState if the state was taken more than maxStateAge before or after now.
func checkStateAge(progress *core.DrainProgress) error {
	age := time.Since(time.Unix(0, progress.TakenAt))
	if age < -maxStateAge || age > maxStateAge {
		return errStaleState
	}
	return nil
}

// adoptLastIDs reports the ids of the last state that the predecessor saved before it exited, if there is one.
func (d *Daemon) adoptLastIDs() {
	if progress, err := d.loadPredecessorProgress(); err == nil {
		d.Core.SetPredecessorIDs(progress.TakenAt, progress.IDs)
	}
}

// pollPredecessor updates the slots that the predecessor's jobs still use at the workers. It marks the
// predecessor as no longer needed once a state that was saved more than minOverlap after this process began to
// listen has no open jobs, since the platform can then stop the predecessor without failing a job, and in any
// case after readyTimeout.
func (d *Daemon) pollPredecessor() {
	if time.Since(d.lifecycle.startedAt) >= readyTimeout {
		d.takeover.predecessorMayExit.Store(true)
	}
	progress, err := d.loadPredecessorProgress()
	if err != nil {
		return // the next poll retries
	}
	d.Core.SetExternalSlots(progress.InFlight)
	d.Core.SetPredecessorIDs(progress.TakenAt, progress.IDs)
	if !d.platform.HasSynced() {
		d.adoptEndpoints(progress) // discovery may still notify the predecessor
	}
	overlap := time.Unix(0, progress.TakenAt).Sub(d.takeover.listeningSince)
	if overlap > minOverlap && progress.Open == 0 {
		d.takeover.predecessorMayExit.Store(true)
	}
}
