package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A host is an entry of the endpoint list in discovery's words.
type host struct {
	Host         string  `json:"host"`
	Dial         string  `json:"dial"`
	Zone         string  `json:"site"`
	Kind         string  `json:"class"`
	Block        int     `json:"block"`
	Health       string  `json:"health"`
	Weight       float64 `json:"share"`
	StartedMilli int64   `json:"born_ms"`
}

// What the list says of a worker's health, in discovery's words.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// A Price is what discovery's calls cost: it serves them one after another. The zero
// value costs nothing. A watch costs only when it is answered.
type Price struct {
	Call, Line time.Duration // for each call, and for each host in its answer
	Patience   time.Duration // a call that has waited longer for its turn ends in 503
}

// Calls counts the calls to discovery.
type Calls struct {
	Received, Answered, Rejected int
	MaxPerSecond                 int // that came in one second
	Waiting                      int // for their turn now
}

// Discovery serves the endpoint list and watches on it. A view is one scheduler's access to it.
type Discovery struct {
	*Server
	Price Price // set before the first call

	turn chan struct{}

	mu           sync.Mutex
	version      int
	oldestKnown  int // version before which changes are no longer known
	hosts        []host
	positions    map[string]int // of each host in hosts
	changedIn    map[string]int // the version in which each host last changed, also those that left
	changed      chan struct{}
	calls        Calls
	seconds      map[int64]int
	firstAnswers map[string]time.Time // first answer to each view
	announced    map[string]int       // version of the last answer to each view
	writes       map[string][]Write
	changes      []Change
	corrupter    corrupter
}

// StartDiscovery starts a discovery that knows these workers on a free port of loopback.
func StartDiscovery(workers ...*Worker) (*Discovery, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	return DiscoveryOn(l, workers...), nil
}

// DiscoveryOn starts a discovery that knows these workers on a listener, which it owns from then on.
func DiscoveryOn(l net.Listener, workers ...*Worker) *Discovery {
	d := &Discovery{
		changed:      make(chan struct{}),
		turn:         make(chan struct{}, 1),
		changedIn:    map[string]int{},
		positions:    map[string]int{},
		seconds:      map[int64]int{},
		firstAnswers: map[string]time.Time{},
		announced:    map[string]int{},
		writes:       map[string][]Write{},
	}
	for _, w := range workers {
		d.Put(w, Active)
	}
	d.Server = d.View(l, "", nil)
	return d
}

// View serves the same list on another listener, under a name, with each host's address
// as dial has it there; nil leaves them.
func (d *Discovery) View(l net.Listener, name string, dial func(host, addr string) string) *Server {
	return Serve(l, func(c net.Conn, r *http.Request, _ string) bool { return d.handle(c, r, name, dial) })
}

// Put announces a worker's health: Active, Leaving or Left.
func (d *Discovery) Put(w *Worker, health string) {
	h := host{Host: w.Name, Dial: w.Addr(), Zone: w.Zone, Kind: w.Kind, Health: health, Weight: 1}
	if w.Group != nil {
		h.Block = w.Group.Number
	}
	if w.Via != "" {
		h.Dial = w.Via
	}
	if !w.Started.IsZero() {
		h.StartedMilli = w.Started.UnixMilli()
	}
	d.update(h)
}

// An Entry is a host of the list behind which there is no worker, as the capacity tool's fleets have them.
type Entry struct {
	Host, Dial, Zone, Kind string
	Health                 string // Active, Leaving or Left
	StartedAt              time.Time
}

// Announce announces hosts without a worker, all in one change of the list.
func (d *Discovery) Announce(entries ...Entry) {
	hosts := make([]host, len(entries))
	for i, e := range entries {
		hosts[i] = host{Host: e.Host, Dial: e.Dial, Zone: e.Zone, Kind: e.Kind, Health: e.Health, Weight: 1}
		if !e.StartedAt.IsZero() {
			hosts[i].StartedMilli = e.StartedAt.UnixMilli()
		}
	}
	d.update(hosts...)
}

// update takes hosts into the list, in one change of it.
func (d *Discovery) update(hosts ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, h := range hosts {
		at, there := d.positions[h.Host]
		switch {
		case h.Health == Left && there:
			d.drop(at)
		case there:
			d.hosts[at] = h
		default:
			d.positions[h.Host] = len(d.hosts)
			d.hosts = append(d.hosts, h)
		}
		d.changedIn[h.Host] = d.version
		d.changes = append(d.changes, Change{d.version, h.Host, h.Health, time.Now()})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// drop takes a host out of the list.
func (d *Discovery) drop(at int) {
	delete(d.positions, d.hosts[at].Host)
	d.hosts = append(d.hosts[:at:at], d.hosts[at+1:]...)
	for i := at; i < len(d.hosts); i++ {
		d.positions[d.hosts[i].Host] = i
	}
}

// Version returns the list's version.
func (d *Discovery) Version() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Compact forgets the changes so far: who asks for those since an older version gets the complete list.
func (d *Discovery) Compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.oldestKnown = d.version
}

// GoBack gives the list a lower version, as a discovery does that has lost what it wrote last.
func (d *Discovery) GoBack(version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
	for host, at := range d.changedIn {
		d.changedIn[host] = min(at, version)
	}
}

// handle answers a call: at once, or as a watch when the list changes or the watch's time is up.
func (d *Discovery) handle(c net.Conn, r *http.Request, view string, dial func(host, addr string) string) bool {
	query := r.URL.Query()
	index, _ := strconv.Atoi(query.Get("index")) // none: 0, which asks for the complete list
	changed, version := d.countCall(time.Now())
	if index == version {
		wait, _ := strconv.Atoi(query.Get("wait")) // none: 0, which does not wait
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	list := d.since(index, dial)
	if !d.pay(len(list.Hosts)) {
		return writeText(c, busyAnswer)
	}
	body, err := json.Marshal(list)
	if err != nil {
		return false
	}
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if corrupted, goesOn := d.corrupter.corrupt(c, answer); corrupted {
		return goesOn
	}
	if !writeText(c, answer) {
		return false
	}
	d.recordAnswer(view, list.Version)
	return true
}

// countCall counts a call that came at a time. It returns the list's version, and what is closed when that changes.
func (d *Discovery) countCall(now time.Time) (changed <-chan struct{}, version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	second := now.Unix()
	d.calls.Received++
	d.seconds[second]++
	d.calls.MaxPerSecond = max(d.calls.MaxPerSecond, d.seconds[second])
	return d.changed, d.version
}

// recordAnswer keeps that a whole answer was written to a view.
func (d *Discovery) recordAnswer(view string, version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.firstAnswers[view].IsZero() {
		d.firstAnswers[view] = now
	}
	d.announced[view] = version
	d.writes[view] = append(d.writes[view], Write{version, now})
}

// An endpointAnswer is a list as an answer brings it: complete or a delta.
type endpointAnswer struct {
	Version  int    `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []host `json:"hosts"`
}

// since returns what has changed since a version, or the complete list if the changes since are not known.
func (d *Discovery) since(version int, dial func(host, addr string) string) endpointAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := 0 < version && d.oldestKnown <= version && version <= d.version
	answer := endpointAnswer{Version: d.version, Complete: !known, Hosts: []host{}}
	here := map[string]bool{}
	for _, h := range d.hosts {
		here[h.Host] = true
		if answer.Complete || d.changedIn[h.Host] > version {
			if dial != nil {
				h.Dial = dial(h.Host, h.Dial)
			}
			answer.Hosts = append(answer.Hosts, h)
		}
	}
	for name, at := range d.changedIn {
		if !answer.Complete && !here[name] && at > version {
			answer.Hosts = append(answer.Hosts, host{Host: name, Health: Left})
		}
	}
	return answer
}

// pay waits for the turn of a call and spends the time that it costs; false after too long a wait.
func (d *Discovery) pay(lines int) bool {
	count := func(waiting, answered, rejected int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.calls.Waiting += waiting
		d.calls.Answered += answered
		d.calls.Rejected += rejected
	}
	if d.Price == (Price{}) {
		count(0, 1, 0)
		return true
	}
	count(1, 0, 0)
	select {
	case d.turn <- struct{}{}:
		<-time.After(d.Price.Call + time.Duration(lines)*d.Price.Line)
		<-d.turn
		count(-1, 1, 0)
		return true
	case <-time.After(d.Price.Patience):
		count(-1, 0, 1)
		return false
	}
}

// Calls returns the calls so far.
func (d *Discovery) Calls() Calls {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// First returns when a view was first answered, and forgets it; zero if it never was.
func (d *Discovery) First(view string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.firstAnswers[view]
	delete(d.firstAnswers, view)
	return at
}

// Announced returns the version of the last answer that was written to a view.
func (d *Discovery) Announced(view string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.announced[view]
}

// Known returns the list as a scheduler's configuration has it.
func (d *Discovery) Known() []byte { return d.KnownAt(nil) }

// KnownAt returns the same with the hosts' addresses as a view has them.
func (d *Discovery) KnownAt(dial func(host, addr string) string) []byte {
	known, _ := json.Marshal(d.since(0, dial)) // the type has nothing that fails
	return known
}
