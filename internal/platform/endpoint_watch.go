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

// When calls are made, how long a watch is held and when a silent call is broken off is decided in
// internal/pollpacing. A watch that falls silent delays every change by as long as it may last.
//
// After SIGHUP the new discovery's list is binding 4 s later: switchRetryTime is 0.5 s less, and a call
// that is silent then is ended after switchCallTimeout, in time for another one.
const (
	firstWatchHold          = time.Millisecond        // that discovery may hold the first watch: a silent one shows soon
	switchRetryPeriod       = 3500 * time.Millisecond // after a switch, in which calls that fail are made again
	switchCallTimeout       = 2 * time.Second         // for the complete list in that time
	defaultFinalReadTimeout = time.Second             // that a switch waits for the old discovery's last response
)

// An endpointObserver learns what the watch finds out. *core.Core implements it.
type endpointObserver interface {
	UpdateEndpoints(kind foxlift.EndpointUpdate, workers []foxlift.Worker)
	ConfirmEndpoints()                             // discovery has answered that nothing has changed
	ChangeDiscovery()                              // another discovery is polled from now on
	RecordPollFailure(failure foxlift.PollFailure) // a call has failed
}

// An endpointWatch keeps the endpoint table by watching discovery. Attempts look at the table just before
// they send, so that they see a change before the core has processed it.
type endpointWatch struct {
	ctx              context.Context // ends with the watch
	cancel           context.CancelFunc
	loop             sync.WaitGroup // the goroutine that makes the calls
	observer         endpointObserver
	log              *zap.Logger
	pacer            *pollpacing.Pacer // of the loop alone
	finalReadTimeout time.Duration

	mu               sync.Mutex
	table            endpointTable
	unread           unreadResponse
	discovery        string             // the address that is polled
	cancelCalls      context.CancelFunc // ends the calls to discovery and the delays between them
	switchRetryUntil time.Time          // until then the first complete list of discovery is asked for without delay
	switched         bool               // discovery has changed since the last call
	answered         bool               // a call has been answered since the start
	needComplete     bool               // the next call asks for the complete list: no version is known to go on from
	watching         bool               // the loop runs
}

// newEndpointWatch returns a watch that has not begun. It ends with ctx or by stop.
func newEndpointWatch(
	ctx context.Context, discovery string, s *config.Settings, observer endpointObserver, log *zap.Logger,
) *endpointWatch {
	// After a failed call four times as long may go by as without any: half of that is kept.
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

// load applies the cached list, from before the start.
func (w *endpointWatch) loadCached(cached []byte) ([]foxlift.Worker, error) {
	response, err := parseCached(cached)
	if response == nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.applyLocked(response), nil
}

// applyLocked applies a response, which then is unread no longer.
func (w *endpointWatch) applyLocked(response *endpointsResponse) []foxlift.Worker {
	w.needComplete = false
	w.unread.clear()
	return w.table.apply(response)
}

// find returns a worker's entry, if new work may go there now. A change is binding once discovery has
// written it: where a response has arrived that is not in the table yet (the process stood still, the core
// was busy, or the list is long), find waits for it, and if that takes too long nothing is sent. It must
// not be called on the core's goroutine.
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

// stateOf returns a worker's state, and since when it is not live.
func (w *endpointWatch) stateOf(worker string) (state foxlift.WorkerState, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.state(worker)
}

// hasSynced reports whether discovery has answered since the start.
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

func (w *endpointWatch) watchLocked() {
	if w.watching || w.ctx.Err() != nil {
		return
	}
	w.watching = true
	w.loop.Go(w.run)
}

// switchTo polls another discovery from now on: the call to the old one is ended, and the new one's list is
// asked for complete until it is there. Until then the last list holds. What the old one has written by now
// is binding: it is read before the call ends.
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

// stop ends the watch for good, and waits for its goroutine.
func (w *endpointWatch) stop() {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.loop.Wait()
}

// run makes calls until the watch is stopped. After a failure it calls again when the pacer says so, which
// has the sum of all schedulers' calls in view: an end of the watch comes to all of them at once.
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
		// A watch is held by discovery: that wait is not one for the next call.
		delay = w.pacer.NextDelay(callOutcome(err), min(time.Since(calledAt), w.pacer.Timeout(0)))
		if !retryingSwitch {
			w.log.Warn("endpoint watch: call to discovery failed", zap.String("discovery", session.discovery),
				zap.Error(err), zap.Duration("next", delay))
			w.observer.RecordPollFailure(pollFailure(err, time.Since(calledAt)))
		}
	}
}

// openSession returns a session with the discovery that is to be polled; nil if the watch has been stopped.
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

// closeSession ends the calls of a session. It reports whether its failure is urgent to retry and not
// reported, since a discovery that has just been switched to may not be there yet.
func (w *endpointWatch) closeSession() (retryingSwitch bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCalls()
	w.cancelCalls = nil
	w.unread.clear()
	return time.Now().Before(w.switchRetryUntil)
}

// applyResponse applies the response to a call, unless the watch has switched to another discovery since:
// the old one's last response must not replace the new list.
func (w *endpointWatch) applyResponse(
	ctx context.Context, response *endpointsResponse,
) ([]foxlift.Worker, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if w.switched { // the final response of the old discovery: the next list is the new one's
		w.cancelCalls()
		workers := w.applyLocked(response)
		w.needComplete = true
		return workers, nil
	}
	w.switchRetryUntil, w.answered = time.Time{}, true
	return w.applyLocked(response), nil
}

// progress returns the list's version, and whether a call has been answered since the start.
func (w *endpointWatch) progress() (version int64, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.version, w.answered
}

// completeTimeout is how long a call for the complete list may take.
func (w *endpointWatch) completeTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.switchRetryUntil) {
		return min(switchCallTimeout, w.pacer.Timeout(0))
	}
	return w.pacer.Timeout(0)
}

// setReading records, before anything of a response that has arrived is read, that it is; or that all of
// what had arrived was a part only, and the rest is awaited.
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

// requireComplete makes the next call one for the complete list if a call failed by its response's size:
// the changes since the last version can be larger than the complete list.
func (w *endpointWatch) requireCompleteIfOversized(err error) {
	if errors.As(err, &oversizedError{}) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.needComplete = true
	}
}
