package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/coldstart"
	"github.com/vatu-meals/foxlift/internal/config"
)

// The list's clock. A call that is silent is broken; what it misses counts as told 6 s after
// it fell silent, or 2 s after its wait is over where that is later, and drainGrace (0.5 to 2 s)
// more may go by until nothing new may be sent. A silent call is ended, and another made, at
//
//	listLimit, 2 s before, for a call that does not wait: for the next call and its answer;
//	wait + watchSlack, 1 s before, for one that waits: at 0.27 of a core a timer comes up to
//	0.1 s late, the pause is 0.25 s at most, and the next call has 0.6 s of a queue's time.
//
// A long wait costs as much news as it lasts, once a watch falls silent: on join+mass only 6 in
// 100 of 300 schedulers heard of a release when they waited 55 s, and the others sent to nodes
// that were gone until the day's end. A call that is answered with nothing costs discovery a fifth
// of a whole list, so all together may make 50 of them a second.
//
// After SIGHUP what the new discovery has counts 4 s later: switchTime is 0.5 s before that, and
// a call that is silent then is ended after switchLimit, in time for another one.
const (
	waitLeast   = 4 * time.Second         // how long discovery may hold a watch,
	waitMost    = 55 * time.Second        // (it allows 60 s)
	firstWait   = time.Millisecond        // the first of them
	waitEach    = 20 * time.Millisecond   // and for each scheduler: 50 ask anew in a second, in sum
	waitSpread  = 4                       // the part of it by which waits differ, so that all do not end together
	listLimit   = 4 * time.Second         // for the whole list: discovery gives up after 3 s
	watchSlack  = time.Second             // a watch's answer may come this much after its wait
	catchUp     = 100 * time.Millisecond  // most that a claim waits for the watch to read
	switchTime  = 3500 * time.Millisecond // after a switch to another discovery, calls that fail are made again
	switchLimit = 2 * time.Second         // for the whole list then
)

// machines is the machine list and the watch on it. Claims ask it just before
// they send, so that they see a change before the core has heard of it.
type machines struct {
	settings *config.Settings
	tell     func(foxlift.ListKind, []foxlift.Worker)
	log      *zap.Logger
	asker    *coldstart.Asker // the watch's alone

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
	conn     net.Conn // the watch's, while an answer is awaited
	stopped  bool
}

// A machine is an execute node's entry in the list.
type machine struct {
	dial  string
	state foxlift.WorkerState
	born  time.Time // its process's last start
	told  int64     // the same as it was told
}

func newMachines(addr string, s *config.Settings, tell func(foxlift.ListKind, []foxlift.Worker), log *zap.Logger) *machines {
	// After a failed call four times as long may go by as without any: half of that is kept.
	longest := 2 * time.Duration(s.Module.MustAskIn)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &machines{
		addr: addr, settings: s, tell: tell, log: log, entries: map[string]machine{}, whole: true,
		asker: coldstart.NewAsker(s.Module.Dispatchers, longest, rng),
	}
}

// A listing is discovery's answer.
type listing struct {
	Version *int64 `json:"seq"`
	Whole   bool   `json:"whole"`
	Hosts   []struct {
		Host   string `json:"host"`
		Dial   string `json:"dial"`
		Zone   string `json:"site"`
		Kind   string `json:"class"`
		Cell   int    `json:"block"`
		Health string `json:"health"`
		Born   int64  `json:"born_ms"`
	} `json:"hosts"`
}

var healths = map[string]foxlift.WorkerState{
	healthActive: foxlift.Live, healthLeaving: foxlift.Draining, healthLeft: foxlift.Gone,
}

// parseListing reads an answer; one that is faulty anywhere is refused whole.
func parseListing(text []byte) (*listing, error) {
	var l listing
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, err
	}
	if l.Version == nil {
		return nil, errors.New("seq is missing")
	}
	for i, h := range l.Hosts {
		if h.Host == "" {
			return nil, fmt.Errorf("hosts[%d].host is empty", i)
		}
		if _, ok := healths[h.Health]; !ok {
			return nil, fmt.Errorf("hosts[%d].health is %q", i, h.Health)
		}
		if _, _, err := net.SplitHostPort(h.Dial); err != nil && h.Health != healthLeft {
			return nil, fmt.Errorf("hosts[%d].dial is %q", i, h.Dial)
		}
	}
	return &l, nil
}

// parseKnown reads the list as last known before the start; nil if there is none.
func parseKnown(known []byte) (*listing, error) {
	if len(known) == 0 || string(known) == "null" {
		return nil, nil
	}
	l, err := parseListing(known)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	l.Whole = true
	return l, nil
}

// CheckKnown checks the list as last known before the start.
func CheckKnown(known []byte) error {
	_, err := parseKnown(known)
	return err
}

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
	m.version, m.whole, m.conn = *l.Version, false, nil
	now := time.Now().UnixMilli()
	var workers []foxlift.Worker
	for _, h := range l.Hosts {
		state := healths[h.Health]
		// A start before all time counts as long ago, one in the future as now: a node
		// would else be cold for as long as its clock is wrong. What is told again is
		// the same start.
		born := max(0, min(h.Born, now))
		if old, ok := before[h.Host]; ok && old.told == h.Born {
			born = old.born.UnixMilli()
		}
		m.entries[h.Host] = machine{h.Dial, state, time.UnixMilli(born), h.Born}
		workers = append(workers, foxlift.Worker{
			ID: h.Host, Zone: config.Find(m.settings.Zones, h.Zone), Kind: config.Find(m.settings.Kinds, h.Kind),
			Cell: h.Cell, State: state, Started: born * int64(time.Millisecond),
		})
	}
	return workers
}

// takeFrom takes an answer to a call, unless the watch has gone over to another
// discovery since: what the old one said last must not replace the new list.
func (m *machines) takeFrom(ctx context.Context, l *listing) ([]foxlift.Worker, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m.urgent = time.Time{}
	return m.takeLocked(l), nil
}

// find returns a node's entry, if new work may go there now. A change counts as
// told once discovery has written it: where an answer has arrived that the watch
// has not yet read (the process stood still, or the core was busy), find waits for
// it. It must not be called on the core's goroutine.
func (m *machines) find(node string) (machine, bool) {
	m.mu.Lock()
	for end := time.Now().Add(catchUp); m.conn != nil && arrived(m.conn) && time.Now().Before(end); {
		m.mu.Unlock()
		<-time.After(time.Millisecond)
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	e, ok := m.entries[node]
	return e, ok && e.state == foxlift.Live
}

// Watch implements core.MachineList.
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
// then the last list holds.
func (m *machines) switchTo(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addr, m.moved, m.whole, m.urgent = addr, true, true, time.Now().Add(switchTime)
	if m.cancel != nil {
		m.cancel()
	}
	m.watchLocked()
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

// firstPause is the pause before the first call. Where lists are pushed there is no queue that
// all schedulers share, and no time: what the agent has counts as told already.
func (m *machines) firstPause() time.Duration {
	if m.settings.Pushed() {
		return 0
	}
	return m.asker.First()
}

// watch takes the list and then its changes, until it is stopped. What has failed is tried
// again when the asker says so: it has the sum of all schedulers' calls in view, and an end
// of the watch comes to all of them at once.
func (m *machines) watch() {
	for pause := m.firstPause(); ; {
		m.mu.Lock()
		if m.stopped {
			m.watching = false
			m.mu.Unlock()
			return
		}
		if m.moved {
			m.moved, pause = false, 0
			m.asker.Moved()
		}
		ctx, cancel := context.WithCancel(context.Background())
		addr := m.addr
		m.cancel = cancel
		m.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		took, err := m.follow(ctx, addr)
		broken := ctx.Err() != nil
		cancel()
		m.mu.Lock()
		m.cancel, m.conn = nil, nil
		urgent := time.Now().Before(m.urgent) // what just started may not be there yet
		m.mu.Unlock()
		if broken {
			continue
		}
		// A watch's wait is not one for its turn.
		pause = m.asker.After(outcome(err), min(took, listLimit))
		if !urgent {
			m.log.Warn("the watch on the machine list has ended", zap.String("discovery", addr), zap.Error(err), zap.Duration("next", pause))
			m.tell(foxlift.ListFailed, nil)
		}
	}
}

// follow makes calls until one fails or ctx ends, and returns how long that one took.
func (m *machines) follow(ctx context.Context, addr string) (took time.Duration, err error) {
	c := &caller{ctx: ctx, addr: addr}
	defer c.close()
	// Discovery has little time for each of many schedulers, and what it does is
	// priced by the line: only who has no list at all takes the whole one.
	m.mu.Lock()
	whole := m.whole
	m.mu.Unlock()
	var kind foxlift.ListKind
	var news []foxlift.Worker
	var told bool
	var began time.Time
	defer func() { took = time.Since(began) }()
	for began = time.Now(); ; began = time.Now() {
		target, limit := pathMembers, m.listLimit()
		if !whole {
			wait := m.wait()
			if !m.answered {
				wait = firstWait // a discovery that is silent is known to be so soon after the start
			}
			target = fmt.Sprintf("%s?%s=%d&%s=%d", pathMembers, queryIndex, m.version, queryWait, wait.Milliseconds())
			limit = max(wait+watchSlack, limit)
		}
		err := c.send(target, limit)
		// The core hears of an answer once the next call is out: nothing that
		// happens here may delay that call.
		if told {
			m.tell(kind, news)
		}
		if err != nil {
			return 0, err
		}
		m.await(c.conn)
		body, err := c.receive()
		if err != nil {
			return 0, err
		}
		l, err := parseListing(body)
		if err == nil && whole && !l.Whole {
			err = errors.New("the answer is not the whole list")
		}
		if err != nil {
			return 0, fmt.Errorf("%w: %w", errList, err)
		}
		if !l.Whole && *l.Version < m.version {
			whole, told = true, false // discovery has lost count
			continue
		}
		told = l.Whole || len(l.Hosts) > 0 || !m.answered
		if news, err = m.takeFrom(ctx, l); err != nil {
			return 0, err
		}
		kind = foxlift.ListChanges
		if l.Whole {
			kind = foxlift.ListFull
		}
		whole, m.answered = false, true
		m.asker.After(coldstart.Answered, time.Since(began))
	}
}

// wait is how long discovery may hold a watch. Each call costs it time also when there
// is nothing to tell: of many schedulers each asks less often.
func (m *machines) wait() time.Duration {
	wait := min(waitMost, max(waitLeast, time.Duration(m.settings.Module.Dispatchers)*waitEach))
	return wait - time.Duration(rand.Int64N(int64(wait/waitSpread)))
}

// listLimit is how long a call for the whole list may take.
func (m *machines) listLimit() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.urgent) {
		return switchLimit
	}
	return listLimit
}

// await notes the connection on which an answer is awaited; nil for none.
func (m *machines) await(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conn = conn
}
