package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// The list's clock is in internal/pollpacing: how long a watch is held, when a silent call is broken, when
// the next one is made. A watch that falls silent costs the news of as long as it may last: on
// join+mass only 6 in 100 of 300 schedulers heard of a release when they waited 55 s.
//
// After SIGHUP what the new discovery has counts 4 s later: switchRetryTime is 0.5 s before that, and
// a call that is silent then is ended after switchCallTimeout, in time for another one.
const (
	firstWatchWait    = time.Millisecond        // how long discovery may hold the first watch: a silent one is known soon
	unreadWait        = time.Second             // most that a claim waits for an answer of which nothing more is read; then it is not sent,
	maxUnreadWait     = 4 * time.Second         // and for one that is being read: longer than a call for the whole list may take
	switchRetryTime   = 3500 * time.Millisecond // after a switch to another discovery, calls that fail are made again
	switchCallTimeout = 2 * time.Second         // for the whole list then
	finalReadWait     = time.Second             // most that a switch waits for what the old discovery has written to be read
)

// machines is the machine list and the watch on it. Claims ask it just before
// they send, so that they see a change before the core has heard of it.
type endpointWatch struct {
	settings         *config.Settings
	notify           func(foxlift.EndpointUpdate, []foxlift.Worker)
	confirm          func()                                         // discovery has answered, with no news
	discoveryChanged func()                                         // another discovery is to be asked
	fail             func(foxlift.PollFailure)                      // a call has failed
	wall             func() time.Time                               // the wall clock, for what other machines' clocks tell
	clock            func() int64                                   // the core's clock
	workerChanged    func(worker string, state foxlift.WorkerState) // of each node that an answer names or leaves out
	log              *zap.Logger
	pacer            *pollpacing.Pacer // the watch's alone

	finalReadTimeout time.Duration

	mu           sync.Mutex
	discovery    string
	cancel       context.CancelFunc // ends the calls to addr, and the pauses between them
	urgentUntil  time.Time          // until then the first whole list from addr is asked for again and again
	entries      map[string]endpoint
	version      int64
	switched     bool // addr has changed since the last call
	answered     bool // a call has been answered since the start
	needComplete bool // the next call takes the whole list: no version is known that its changes could go on from
	watching     bool
	conn         net.Conn  // the watch's, while an answer is awaited
	reading      bool      // what arrived on conn is being read, and is not in the list yet
	lastReadAt   time.Time // when some of it was last read
	stopped      bool
}

func newEndpointWatch(addr string, s *config.Settings, tell func(foxlift.EndpointUpdate, []foxlift.Worker), log *zap.Logger) *endpointWatch {
	// After a failed call four times as long may go by as without any: half of that is kept.
	longest := 2 * time.Duration(s.Module.MaxPollInterval)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m := &endpointWatch{
		discovery: addr, settings: s, notify: tell, log: log, entries: map[string]endpoint{}, needComplete: true,
		pacer: pollpacing.NewPacer(s.Module.Dispatchers, longest, rng), finalReadTimeout: finalReadWait,
		wall: wallClock, clock: core.NewClock().Now, workerChanged: func(string, foxlift.WorkerState) {}, confirm: func() {}, discoveryChanged: func() {}, fail: func(foxlift.PollFailure) {},
	}
	if s.EndpointsPushed() {
		m.pacer = pollpacing.NewAgentPacer(rng)
	}
	return m
}

// wallClock reads the wall clock, without the monotonic one.
func wallClock() time.Time { return time.Now().Round(0) }

// Watch implements core.EndpointWatch.
func (w *endpointWatch) Watch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watchLocked()
}

func (w *endpointWatch) watchLocked() {
	if !w.watching && !w.stopped {
		w.watching = true
		go w.watch()
	}
}

// switchTo goes over to another discovery at once: the call to the old one is
// ended, and the new one's list is taken whole as soon as it is to be had. Until
// then the last list holds. What the old one has written by now counts as told: it
// is read before the call ends.
func (w *endpointWatch) switchTo(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.discovery, w.switched, w.needComplete, w.urgentUntil = addr, true, true, time.Now().Add(switchRetryTime)
	switch {
	case w.cancel == nil:
	case w.unreadLocked():
		time.AfterFunc(w.finalReadTimeout, w.cancel)
	default:
		w.cancel()
	}
	w.watchLocked()
	go w.discoveryChanged() // the core may be busy
}

// stop ends the watch for good.
func (w *endpointWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.cancel != nil {
		w.cancel()
	}
}

// watch takes the list and then its changes, until it is stopped. What has failed is tried
// again when the asker says so: it has the sum of all schedulers' calls in view, and an end
// of the watch comes to all of them at once.
func (w *endpointWatch) watch() {
	for pause := w.pacer.InitialDelay(); ; {
		w.mu.Lock()
		if w.stopped {
			w.watching = false
			w.mu.Unlock()
			return
		}
		if w.switched {
			w.switched, pause = false, 0
			w.pacer.EndpointChanged()
		}
		ctx, cancel := context.WithCancel(context.Background())
		addr := w.discovery
		w.cancel = cancel
		w.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		calledAt, err := w.follow(ctx, addr)
		cancelled := ctx.Err() != nil
		cancel()
		w.mu.Lock()
		w.cancel, w.conn, w.reading = nil, nil, false
		urgent := time.Now().Before(w.urgentUntil) // what just started may not be there yet
		w.mu.Unlock()
		if cancelled {
			continue
		}
		// A watch's wait is not one for its turn.
		pause = w.pacer.NextDelay(callOutcome(err), min(time.Since(calledAt), w.pacer.Timeout(0)))
		if !urgent {
			w.log.Warn("the watch on the machine list has ended", zap.String("discovery", addr), zap.Error(err), zap.Duration("next", pause))
			w.fail(pollFailure(err, time.Since(calledAt)))
		}
	}
}

// follow makes calls until one fails or ctx ends, and returns when that one began.
func (w *endpointWatch) follow(ctx context.Context, addr string) (calledAt time.Time, err error) {
	c := &discoveryClient{ctx: ctx, addr: addr, dialTimeout: w.pacer.DialTimeout(), onReading: w.setReading}
	defer c.close()
	// Discovery has little time for each of many schedulers, and what it does is
	// priced by the line: only who has no list at all takes the whole one.
	w.mu.Lock()
	complete := w.needComplete
	w.mu.Unlock()
	var updateKind foxlift.EndpointUpdate
	var workers []foxlift.Worker
	notify, failing := false, true
	for calledAt = time.Now(); ; calledAt = time.Now() {
		target, limit := pathMembers, w.completeTimeout()
		if !complete {
			wait := w.pacer.WatchHold()
			version, answered := w.progress()
			if !answered {
				wait = firstWatchWait // a discovery that is silent is known to be so soon after the start
			}
			target = fmt.Sprintf("%s?%s=%d&%s=%d", pathMembers, queryIndex, version, queryWait, wait.Milliseconds())
			limit = w.pacer.Timeout(wait)
		}
		err := w.call(c, target, limit)
		// The core hears of an answer once the next call is out: nothing that
		// happens here may delay that call.
		switch {
		case notify:
			w.notify(updateKind, workers)
		case !failing:
			w.confirm()
		}
		if err != nil {
			return calledAt, err
		}
		l, err := c.receive(processResponseBound())
		if err == nil && complete && !l.Complete {
			err = answerError{fmt.Errorf("%w: the answer is not the whole list", errNotEndpoints)}
		}
		if err != nil {
			return calledAt, w.handleOversized(err)
		}
		version, answered := w.progress()
		if !l.Complete && *l.Version < version {
			complete, notify, failing = true, false, true // discovery has lost count
			continue
		}
		if failing {
			w.log.Info("the machine list is followed", zap.String("discovery", addr), zap.Int64("version", *l.Version))
		}
		failing = false
		notify = l.Complete || len(l.Endpoints) > 0 || !answered
		if workers, err = w.applyResponse(ctx, l); err != nil {
			return calledAt, err
		}
		updateKind = foxlift.EndpointsDelta
		if l.Complete {
			updateKind = foxlift.EndpointsComplete
		}
		complete = false
		w.pacer.NextDelay(pollpacing.Answered, time.Since(calledAt))
	}
}

// progress returns the list's version, and whether a call has been answered since the start.
func (w *endpointWatch) progress() (version int64, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, w.answered
}

// completeTimeout is how long a call for the whole list may take.
func (w *endpointWatch) completeTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.urgentUntil) {
		return min(switchCallTimeout, w.pacer.Timeout(0))
	}
	return w.pacer.Timeout(0)
}

// call sends a call to discovery. The connection is noted before that: the answer may be there
// as soon as the call is out, and counts from then on, however long the core is busy.
func (w *endpointWatch) call(c *discoveryClient, target string, limit time.Duration) error {
	if err := c.connect(); err != nil {
		return err
	}
	w.mu.Lock()
	w.conn = c.conn
	w.mu.Unlock()
	return c.send(target, limit)
}

// setReading notes, before anything is read of what has arrived, that it is; and that all of it
// was a part only, where the next is awaited.
func (w *endpointWatch) setReading(is bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reading = is; is {
		w.lastReadAt = time.Now()
	} else if w.switched {
		w.cancel()
	}
}

// handleOversized notes a failure that is due to an answer's size, and returns it. The changes since
// the last version can be more than the whole list, which is asked for next.
func (w *endpointWatch) handleOversized(err error) error {
	if errors.As(err, &oversizedError{}) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.needComplete = true
	}
	return err
}
