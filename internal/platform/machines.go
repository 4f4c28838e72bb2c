package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
	"unique"

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
// After SIGHUP what the new discovery has counts 4 s later: switchTime is 0.5 s before that, and
// a call that is silent then is ended after switchLimit, in time for another one.
const (
	firstWait   = time.Millisecond        // how long discovery may hold the first watch: a silent one is known soon
	catchUp     = time.Second             // most that a claim waits for an answer of which nothing more is read; then it is not sent,
	catchUpMost = 4 * time.Second         // and for one that is being read: longer than a call for the whole list may take
	switchTime  = 3500 * time.Millisecond // after a switch to another discovery, calls that fail are made again
	switchLimit = 2 * time.Second         // for the whole list then
	lastWords   = time.Second             // most that a switch waits for what the old discovery has written to be read
)

// machines is the machine list and the watch on it. Claims ask it just before
// they send, so that they see a change before the core has heard of it.
type machines struct {
	settings *config.Settings
	tell     func(foxlift.EndpointUpdate, []foxlift.Worker)
	confirm  func()                                       // discovery has answered, with no news
	noteMove func()                                       // another discovery is to be asked
	fail     func(foxlift.PollFailure)                    // a call has failed
	wall     func() time.Time                             // the wall clock, for what other machines' clocks tell
	clock    func() int64                                 // the core's clock
	changed  func(node string, state foxlift.WorkerState) // of each node that an answer names or leaves out
	log      *zap.Logger
	asker    *pollpacing.Pacer // the watch's alone

	lastWords time.Duration

	mu       sync.Mutex
	addr     string
	cancel   context.CancelFunc // ends the calls to addr, and the pauses between them
	urgent   time.Time          // until then the first whole list from addr is asked for again and again
	entries  map[string]machine
	version  int64
	moved    bool // addr has changed since the last call
	answered bool // a call has been answered since the start
	whole    bool // the next call takes the whole list: no version is known that its changes could go on from
	watching bool
	conn     net.Conn  // the watch's, while an answer is awaited
	reading  bool      // what arrived on conn is being read, and is not in the list yet
	readAt   time.Time // when some of it was last read
	stopped  bool
}

func newMachines(addr string, s *config.Settings, tell func(foxlift.EndpointUpdate, []foxlift.Worker), log *zap.Logger) *machines {
	// After a failed call four times as long may go by as without any: half of that is kept.
	longest := 2 * time.Duration(s.Module.MaxPollInterval)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m := &machines{
		addr: addr, settings: s, tell: tell, log: log, entries: map[string]machine{}, whole: true,
		asker: pollpacing.NewPacer(s.Module.Dispatchers, longest, rng), lastWords: lastWords,
		wall: wallClock, clock: core.NewClock().Now, changed: func(string, foxlift.WorkerState) {}, confirm: func() {}, noteMove: func() {}, fail: func(foxlift.PollFailure) {},
	}
	if s.EndpointsPushed() {
		m.asker = pollpacing.NewAgentPacer(rng)
	}
	return m
}

// wallClock reads the wall clock, without the monotonic one.
func wallClock() time.Time { return time.Now().Round(0) }

// load takes the list as last known before the start.
func (m *machines) load(known []byte) ([]foxlift.Worker, error) {
	l, err := parseKnown(known)
	if l == nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.takeLocked(l), nil
}

// takeLocked puts an answer into the list and returns it in the module's terms.
func (m *machines) takeLocked(l *listing) []foxlift.Worker {
	before := m.entries
	if l.Whole {
		m.entries = make(map[string]machine, len(l.Hosts))
	}
	m.version, m.whole, m.conn, m.reading = *l.Version, false, nil, false
	wall := m.wall()
	var workers []foxlift.Worker
	if l.Whole {
		defer m.noteMissing(before)
	}
	for _, h := range l.Hosts {
		state := healths[h.Health]
		start := startOf(h.Born, wall, m.clock)
		if old, ok := before[h.Host]; ok && old.told == h.Born {
			start = old.processStart // told again, it is the same start, wherever the wall clock is now
		}
		m.entries[h.Host] = machine{
			dial: h.Dial, state: state, off: offSince(before[h.Host], state), processStart: start, told: h.Born,
			zone: unique.Make(h.Zone), kind: unique.Make(h.Kind), cell: h.Cell,
		}
		m.changed(h.Host, state)
		workers = append(workers, foxlift.Worker{
			ID: h.Host, Zone: config.Find(m.settings.Zones, h.Zone), Kind: config.Find(m.settings.Kinds, h.Kind),
			Cell: h.Cell, State: state, StartedAt: start.started,
		})
	}
	return workers
}

// noteMissing tells of the nodes that were in the list before and are in it no more.
func (m *machines) noteMissing(before map[string]machine) {
	for node := range before {
		if _, there := m.entries[node]; !there {
			m.changed(node, foxlift.Removed)
		}
	}
}

// takeFrom takes an answer to a call, unless the watch has gone over to another
// discovery since: what the old one said last must not replace the new list.
func (m *machines) takeFrom(ctx context.Context, l *listing) ([]foxlift.Worker, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if m.moved { // the last words of the discovery before: the list that is asked for next is another's
		m.cancel()
		news := m.takeLocked(l)
		m.whole = true
		return news, nil
	}
	m.urgent, m.answered = time.Time{}, true
	return m.takeLocked(l), nil
}

// find returns a node's entry, if new work may go there now. A change counts as
// told once discovery has written it: where an answer has arrived that is not yet in the
// list (the process stood still, the core was busy, or the list is long), find waits for it,
// and with no end to that nothing is sent. It must not be called on the core's goroutine.
func (m *machines) find(node string) (machine, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for began := time.Now(); m.unreadLocked(); {
		if !time.Now().Before(m.waitEndLocked(began)) {
			return machine{}, false
		}
		m.mu.Unlock()
		<-time.After(time.Millisecond)
		m.mu.Lock()
	}
	e, ok := m.entries[node]
	return e, ok && e.state == foxlift.Live
}

// stateOf returns what the list says of a node, and since when if it is not live; one that it does not
// name is gone, nobody knows since when.
func (m *machines) stateOf(node string) (state foxlift.WorkerState, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[node]; ok {
		return e.state, e.off
	}
	return foxlift.Removed, time.Time{}
}

// waitEndLocked returns until when a claim that has waited since began waits for an answer to be
// in the list. While it is being read, the wait goes on: a long list takes its time.
func (m *machines) waitEndLocked(began time.Time) time.Time {
	end, most := later(began, m.readAt).Add(catchUp), began.Add(catchUpMost)
	if end.After(most) {
		end = most
	}
	return end
}

// unreadLocked reports whether something has arrived on the watch that is not in the list.
func (m *machines) unreadLocked() bool { return m.reading || m.conn != nil && arrived(m.conn) }

// Watch implements core.EndpointWatch.
func (m *machines) Watch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchLocked()
}

func (m *machines) watchLocked() {
	if !m.watching && !m.stopped {
		m.watching = true
		go m.watch()
	}
}

// switchTo goes over to another discovery at once: the call to the old one is
// ended, and the new one's list is taken whole as soon as it is to be had. Until
// then the last list holds. What the old one has written by now counts as told: it
// is read before the call ends.
func (m *machines) switchTo(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addr, m.moved, m.whole, m.urgent = addr, true, true, time.Now().Add(switchTime)
	switch {
	case m.cancel == nil:
	case m.unreadLocked():
		time.AfterFunc(m.lastWords, m.cancel)
	default:
		m.cancel()
	}
	m.watchLocked()
	go m.noteMove() // the core may be busy
}

// stop ends the watch for good.
func (m *machines) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.cancel != nil {
		m.cancel()
	}
}

// watch takes the list and then its changes, until it is stopped. What has failed is tried
// again when the asker says so: it has the sum of all schedulers' calls in view, and an end
// of the watch comes to all of them at once.
func (m *machines) watch() {
	for pause := m.asker.InitialDelay(); ; {
		m.mu.Lock()
		if m.stopped {
			m.watching = false
			m.mu.Unlock()
			return
		}
		if m.moved {
			m.moved, pause = false, 0
			m.asker.EndpointChanged()
		}
		ctx, cancel := context.WithCancel(context.Background())
		addr := m.addr
		m.cancel = cancel
		m.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		began, err := m.follow(ctx, addr)
		broken := ctx.Err() != nil
		cancel()
		m.mu.Lock()
		m.cancel, m.conn, m.reading = nil, nil, false
		urgent := time.Now().Before(m.urgent) // what just started may not be there yet
		m.mu.Unlock()
		if broken {
			continue
		}
		// A watch's wait is not one for its turn.
		pause = m.asker.NextDelay(outcome(err), min(time.Since(began), m.asker.Timeout(0)))
		if !urgent {
			m.log.Warn("the watch on the machine list has ended", zap.String("discovery", addr), zap.Error(err), zap.Duration("next", pause))
			m.fail(listFailure(err, time.Since(began)))
		}
	}
}

// follow makes calls until one fails or ctx ends, and returns when that one began.
func (m *machines) follow(ctx context.Context, addr string) (began time.Time, err error) {
	c := &caller{ctx: ctx, addr: addr, dialLimit: m.asker.DialTimeout(), reading: m.noteReading}
	defer c.close()
	// Discovery has little time for each of many schedulers, and what it does is
	// priced by the line: only who has no list at all takes the whole one.
	m.mu.Lock()
	whole := m.whole
	m.mu.Unlock()
	var kind foxlift.EndpointUpdate
	var news []foxlift.Worker
	told, failing := false, true
	for began = time.Now(); ; began = time.Now() {
		target, limit := pathMembers, m.listLimit()
		if !whole {
			wait := m.asker.WatchHold()
			version, answered := m.progress()
			if !answered {
				wait = firstWait // a discovery that is silent is known to be so soon after the start
			}
			target = fmt.Sprintf("%s?%s=%d&%s=%d", pathMembers, queryIndex, version, queryWait, wait.Milliseconds())
			limit = m.asker.Timeout(wait)
		}
		err := m.call(c, target, limit)
		// The core hears of an answer once the next call is out: nothing that
		// happens here may delay that call.
		switch {
		case told:
			m.tell(kind, news)
		case !failing:
			m.confirm()
		}
		if err != nil {
			return began, err
		}
		l, err := c.receive(processBound())
		if err == nil && whole && !l.Whole {
			err = answerError{fmt.Errorf("%w: the answer is not the whole list", errList)}
		}
		if err != nil {
			return began, m.noteOversized(err)
		}
		version, answered := m.progress()
		if !l.Whole && *l.Version < version {
			whole, told, failing = true, false, true // discovery has lost count
			continue
		}
		if failing {
			m.log.Info("the machine list is followed", zap.String("discovery", addr), zap.Int64("version", *l.Version))
		}
		failing = false
		told = l.Whole || len(l.Hosts) > 0 || !answered
		if news, err = m.takeFrom(ctx, l); err != nil {
			return began, err
		}
		kind = foxlift.EndpointsDelta
		if l.Whole {
			kind = foxlift.EndpointsComplete
		}
		whole = false
		m.asker.NextDelay(pollpacing.Answered, time.Since(began))
	}
}

// progress returns the list's version, and whether a call has been answered since the start.
func (m *machines) progress() (version int64, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.answered
}

// listLimit is how long a call for the whole list may take.
func (m *machines) listLimit() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.urgent) {
		return min(switchLimit, m.asker.Timeout(0))
	}
	return m.asker.Timeout(0)
}

// call sends a call to discovery. The connection is noted before that: the answer may be there
// as soon as the call is out, and counts from then on, however long the core is busy.
func (m *machines) call(c *caller, target string, limit time.Duration) error {
	if err := c.open(); err != nil {
		return err
	}
	m.mu.Lock()
	m.conn = c.conn
	m.mu.Unlock()
	return c.send(target, limit)
}

// noteReading notes, before anything is read of what has arrived, that it is; and that all of it
// was a part only, where the next is awaited.
func (m *machines) noteReading(is bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reading = is; is {
		m.readAt = time.Now()
	} else if m.moved {
		m.cancel()
	}
}

// noteOversized notes a failure that is due to an answer's size, and returns it. The changes since
// the last version can be more than the whole list, which is asked for next.
func (m *machines) noteOversized(err error) error {
	if errors.As(err, &oversizedError{}) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.whole = true
	}
	return err
}
