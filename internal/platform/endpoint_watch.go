package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// Timeouts of the endpoint watch. Package pollpacing decides when calls are made, how long discovery holds a watch and
// after which time a call without a response is cancelled. A watch that gets no response delays every change of the
// endpoint list until its timeout.
//
// The list of a new discovery must be in force 4 s after SIGHUP. switchRetryPeriod is 0.5 s shorter, and a call
// without a response is cancelled in that period after switchCallTimeout, which leaves time for another call.
const (
	firstWatchHold          = time.Millisecond        // hold of the first watch: a silent discovery is detected soon
	switchRetryPeriod       = 3500 * time.Millisecond // after a switch, in which failed calls are not reported
	switchCallTimeout       = 2 * time.Second         // of a call for the complete list in switchRetryPeriod
	defaultFinalReadTimeout = time.Second             // how long a switch waits for the old discovery's last response
)

// endpointObserver receives the results of the calls to discovery. *core.Core implements it.
type endpointObserver interface {
	// UpdateEndpoints reports a complete list, or the entries of a list that have changed.
	UpdateEndpoints(kind foxlift.EndpointUpdate, workers []foxlift.Worker)
	ConfirmEndpoints()                             // discovery has answered that nothing has changed
	ChangeDiscovery()                              // another discovery is polled from now on
	RecordPollFailure(failure foxlift.PollFailure) // a call has failed
}

// endpointWatch keeps the endpoint table up to date by watching discovery. Attempts read the table just before they
// send, so that a change is in force for them before the core has processed it.
type endpointWatch struct {
	ctx              context.Context // done once the watch is stopped
	cancel           context.CancelFunc
	loop             sync.WaitGroup // waits for the goroutine of run
	observer         endpointObserver
	log              *zap.Logger
	pacer            *pollpacing.Pacer // used only by the goroutine of run
	finalReadTimeout time.Duration     // how long a switch waits for the old discovery's last response

	mu               sync.Mutex
	table            endpointTable
	unread           unreadResponse
	discovery        string             // address of the discovery that is polled
	cancelCalls      context.CancelFunc // cancels the current session's calls and delays; nil if there is no session
	switchRetryUntil time.Time          // end of switchRetryPeriod; zero: no switch, or it is completed
	switched         bool               // discovery has changed since the last session was opened
	answered         bool               // a response was applied since the start of this process; see hasSynced
	needComplete     bool               // the next session requests the complete list, not the changes since a version
	watching         bool               // the goroutine of run has been started
}

// newEndpointWatch returns a watch that makes no calls before Watch or switchTo. It ends when ctx is done or stop is
// called.
func newEndpointWatch(
	ctx context.Context, discovery string, s *config.Settings, observer endpointObserver, log *zap.Logger,
) *endpointWatch {
	// After a failed call the time between calls may be four times MaxPollInterval. Half of that is used; 0 means no
	// limit.
	maxDelay := 2 * time.Duration(s.Module.MaxPollInterval)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pacer := pollpacing.NewPacer(s.Module.Dispatchers, maxDelay, rng)
	if s.EndpointsPushed() {
		pacer = pollpacing.NewAgentPacer(rng)
	}
	ctx, cancel := context.WithCancel(ctx)
	return &endpointWatch{
		ctx:              ctx,
		cancel:           cancel,
		observer:         observer,
		log:              log,
		pacer:            pacer,
		finalReadTimeout: defaultFinalReadTimeout,
		table:            newEndpointTable(s),
		discovery:        discovery,
		needComplete:     true,
	}
}

// loadCached applies the cached list, which was saved before the start of this process, and returns its workers; nil
// if there is no cached list. An invalid list is an error.
func (w *endpointWatch) loadCached(cached []byte) ([]foxlift.Worker, error) {
	response, err := parseCached(cached)
	if response == nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.applyLocked(response), nil
}

// applyLocked applies a response to the table, and clears needComplete and the record of an unread response. It returns
// the response's workers.
func (w *endpointWatch) applyLocked(response *endpointsResponse) []foxlift.Worker {
	w.needComplete = false
	w.unread.clear()
	return w.table.apply(response)
}

// findLive returns a worker's entry, and whether new work may be sent to the worker now. A change is in force as soon
// as discovery has written it. If a response has arrived that is not in the table yet (the process was suspended, the
// core was busy, or the list is long), findLive waits until the response is applied. It returns false if that takes
// longer than unreadResponse.deadline allows. A worker that is not live has its entry returned with false; the entry is
// zero if the wait failed or the worker is unknown. Because findLive may block, it must not be called on the core's
// goroutine.
func (w *endpointWatch) findLive(worker string) (endpoint, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for startedAt := time.Now(); w.unread.exists(); {
		if !time.Now().Before(w.unread.deadline(startedAt)) {
			return endpoint{}, false
		}
		w.mu.Unlock()
		<-time.After(time.Millisecond)
		w.mu.Lock()
	}
	e, ok := w.table.entries[worker]
	return e, ok && e.state == foxlift.Live
}

// stateOf returns a worker's state in the table, and the time since which it has not been live; zero for a live worker.
func (w *endpointWatch) stateOf(worker string) (state foxlift.WorkerState, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.state(worker)
}

// address returns the address of the discovery that is polled.
func (w *endpointWatch) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.discovery
}

// setAddress changes the address of the discovery that is polled, before the first call. It has no effect after
// switchTo.
func (w *endpointWatch) setAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.switched {
		w.discovery = address
	}
}

// hasSynced reports whether a response of discovery has been applied since the start of this process. The last response
// of an old discovery, read during a switch, does not count.
func (w *endpointWatch) hasSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered
}

// Watch implements core.EndpointWatch.
func (w *endpointWatch) Watch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watchLocked()
}

// watchLocked starts the goroutine of run, unless it is running or the watch has been stopped.
func (w *endpointWatch) watchLocked() {
	if w.watching || w.ctx.Err() != nil {
		return
	}
	w.watching = true
	w.loop.Go(w.run)
}

// switchTo makes the watch poll another discovery, and starts the watch if necessary. It returns without waiting for a
// response, and calls the observer's ChangeDiscovery on another goroutine. The next calls request the new discovery's
// complete list until it has arrived; the current list stays in force until then. The call to the old discovery is
// cancelled at once, unless bytes of its response have arrived: what the old discovery has written is still in force,
// so the call is then cancelled once that response is applied or proves incomplete, and at the latest after
// finalReadTimeout.
func (w *endpointWatch) switchTo(discovery string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.discovery, w.switched, w.needComplete = discovery, true, true
	w.switchRetryUntil = time.Now().Add(switchRetryPeriod)
	switch {
	case w.cancelCalls == nil:
	case w.unread.exists():
		time.AfterFunc(w.finalReadTimeout, w.cancelCalls)
	default:
		w.cancelCalls()
	}
	w.watchLocked()
	go w.observer.ChangeDiscovery() // the core may be busy
}

// stop ends the watch permanently and waits for its goroutine.
func (w *endpointWatch) stop() {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.loop.Wait()
}

// run makes calls until the watch is stopped. After a failure it waits for the delay of the pacer; after a switch to
// another discovery it does not wait. The pacer's delay accounts for the calls of all schedulers together, because a
// failure of discovery ends the watches of all of them at once.
func (w *endpointWatch) run() {
	delay := w.pacer.InitialDelay()
	for {
		ctx, session := w.openSession()
		if session == nil {
			return
		}
		if session.afterSwitch {
			delay = 0
			w.pacer.EndpointChanged()
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		calledAt, err := session.run(ctx)
		cancelled := ctx.Err() != nil
		retryingSwitch := w.closeSession()
		if cancelled {
			continue
		}
		// The time for which discovery held a watch is not part of the delay before the next call, so the duration
		// of the call is limited to a timeout without a hold.
		delay = w.pacer.NextDelay(callOutcome(err), min(time.Since(calledAt), w.pacer.Timeout(0)))
		if !retryingSwitch {
			w.log.Warn("endpoint watch: call to discovery failed", zap.String("discovery", session.discovery),
				zap.Error(err), zap.Duration("next", delay))
			w.observer.RecordPollFailure(pollFailure(err, time.Since(calledAt)))
		}
	}
}

// openSession returns a session with the current discovery, and its context; nil if the watch has been stopped.
func (w *endpointWatch) openSession() (context.Context, *watchSession) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		w.watching = false
		return nil, nil
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancelCalls = cancel
	session := &watchSession{watch: w, discovery: w.discovery, afterSwitch: w.switched}
	w.switched = false
	return ctx, session
}

// closeSession cancels the calls of the session and clears the record of an unread response. It reports whether the
// watch is in the retry period after a switch.
// In that period failures are not logged or reported, because the new discovery may not be running yet.
func (w *endpointWatch) closeSession() (retryingSwitch bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCalls()
	w.cancelCalls = nil
	w.unread.clear()
	return time.Now().Before(w.switchRetryUntil)
}

// applyResponse applies the response to a call and returns its workers. It fails if ctx, the session's context, is
// done: a late response of an old discovery must not replace the list of the new one. It fails with an oversizedError
// if the table would have too many entries.
func (w *endpointWatch) applyResponse(
	ctx context.Context, response *endpointsResponse,
) ([]foxlift.Worker, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := w.table.checkGrowth(response, processResponseBound().entries); err != nil {
		return nil, responseError{err}
	}
	if w.switched { // the last response of the old discovery; the next session requests the new one's complete list
		w.cancelCalls()
		workers := w.applyLocked(response)
		w.needComplete = true
		return workers, nil
	}
	w.switchRetryUntil, w.answered = time.Time{}, true
	return w.applyLocked(response), nil
}

// progress returns the list's version, and whether a response has been applied since the start of this process.
func (w *endpointWatch) progress() (version int64, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.version, w.answered
}

// completeTimeout returns the timeout of a call for the complete list. In the retry period after a switch it is at most
// switchCallTimeout.
func (w *endpointWatch) completeTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.switchRetryUntil) {
		return min(switchCallTimeout, w.pacer.Timeout(0))
	}
	return w.pacer.Timeout(0)
}

// setReading records whether input of a response is being read. true means that input has arrived and is about to be
// read; false means that all input so far was read and more of the response is awaited. After a switch, false also
// cancels the calls to the old discovery, because it has written no complete response.
func (w *endpointWatch) setReading(reading bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unread.reading = reading
	switch {
	case reading:
		w.unread.lastReadAt = time.Now()
	case w.switched:
		w.cancelCalls()
	}
}

// requireCompleteIfOversized makes the next session request the complete list if err is an oversizedError: the changes
// since the last version can be larger than the complete list.
func (w *endpointWatch) requireCompleteIfOversized(err error) {
	if errors.As(err, &oversizedError{}) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.needComplete = true
	}
}
