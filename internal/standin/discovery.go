package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A host is an entry of the machine list as discovery words it.
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

// A Price is what discovery's calls cost: it serves them one after another. The zero
// value costs nothing. A watch costs only when it is answered.
type Price struct {
	Call, Line time.Duration // for each call, and for each host in its answer
	Patience   time.Duration // a call that has waited longer for its turn ends in 503
}

// Calls is what discovery has been asked.
type Calls struct {
	Received, Answered, Rejected int
	MaxPerSecond                 int // that came in one second
	Waiting                      int // for their turn now
}

// Discovery serves the machine list and watches on it.
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

// StartDiscovery starts a discovery that knows these nodes.
func StartDiscovery(nodes ...*Worker) (*Discovery, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	return DiscoveryOn(l, nodes...), nil
}

func DiscoveryOn(l net.Listener, nodes ...*Worker) *Discovery {
	d := &Discovery{
		changed: make(chan struct{}), turn: make(chan struct{}, 1), changedIn: map[string]int{}, positions: map[string]int{},
		seconds: map[int64]int{}, firstAnswers: map[string]time.Time{}, announced: map[string]int{}, writes: map[string][]Write{},
	}
	for _, n := range nodes {
		d.Put(n, "active")
	}
	d.Server = d.View(l, "", nil)
	return d
}

// View serves the same list on another listener, under a name, with each host's address
// as dial has it there; nil leaves them.
func (d *Discovery) View(l net.Listener, name string, dial func(host, addr string) string) *Server {
	return Serve(l, func(c net.Conn, r *http.Request, _ string) bool { return d.handle(c, r, name, dial) })
}

// Put says how a node is: active, leaving, or left.
func (d *Discovery) Put(n *Worker, health string) {
	h := host{Host: n.Name, Dial: n.Addr(), Zone: n.Zone, Kind: n.Kind, Health: health, Weight: 1}
	if n.Group != nil {
		h.Block = n.Group.Number
	}
	if n.Via != "" {
		h.Dial = n.Via
	}
	if !n.Started.IsZero() {
		h.StartedMilli = n.Started.UnixMilli()
	}
	d.update(h)
}

// An Entry is a host of the list behind which there is no node, as hollow fleets have them.
type Entry struct {
	Host, Dial, Zone, Kind string
	Health                 string // active, leaving, or left
	StartedAt              time.Time
}

// Tell says how hosts without a node are, all in one change of the list.
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

// tell takes hosts into the list, in one change of it.
func (d *Discovery) update(hosts ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, h := range hosts {
		at, there := d.positions[h.Host]
		switch {
		case h.Health == "left" && there:
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

// Compact forgets the changes so far: who asks for those since an older version gets the whole list.
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

func (d *Discovery) handle(c net.Conn, r *http.Request, view string, dial func(host, addr string) string) bool {
	q := r.URL.Query()
	index, _ := strconv.Atoi(q.Get("index"))
	now := time.Now()
	d.mu.Lock()
	d.calls.Received++
	d.seconds[now.Unix()]++
	d.calls.MaxPerSecond = max(d.calls.MaxPerSecond, d.seconds[now.Unix()])
	changed, seq := d.changed, d.version
	d.mu.Unlock()
	if index == seq {
		ms, _ := strconv.Atoi(q.Get("wait"))
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	}
	list := d.since(index, dial)
	if !d.pay(len(list.Hosts)) {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	body, err := json.Marshal(list)
	if err == nil {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if spoilt, on := d.corrupter.corrupt(c, answer); spoilt {
			return on
		}
		_, err = io.WriteString(c, answer)
	}
	if err == nil {
		d.mu.Lock()
		if d.firstAnswers[view].IsZero() {
			d.firstAnswers[view] = time.Now()
		}
		d.announced[view] = list.Version
		d.writes[view] = append(d.writes[view], Write{list.Version, time.Now()})
		d.mu.Unlock()
	}
	return err == nil
}

// A list is an answer.
type endpointAnswer struct {
	Version  int    `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []host `json:"hosts"`
}

// since returns what has changed since a version, or the whole list if it is not known.
func (d *Discovery) since(version int, dial func(host, addr string) string) endpointAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := endpointAnswer{Version: d.version, Complete: version <= 0 || version > d.version || version < d.oldestKnown, Hosts: []host{}}
	here := map[string]bool{}
	for _, h := range d.hosts {
		here[h.Host] = true
		if l.Complete || d.changedIn[h.Host] > version {
			if dial != nil {
				h.Dial = dial(h.Host, h.Dial)
			}
			l.Hosts = append(l.Hosts, h)
		}
	}
	for name, at := range d.changedIn {
		if !l.Complete && !here[name] && at > version {
			l.Hosts = append(l.Hosts, host{Host: name, Health: "left"})
		}
	}
	return l
}

// pay waits for the turn of a call and spends its time; false after too long a wait.
func (d *Discovery) pay(lines int) bool {
	count := func(waiting, answered, refused int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.calls.Waiting += waiting
		d.calls.Answered += answered
		d.calls.Rejected += refused
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

// Calls returns what has been asked so far.
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

// Told returns the version of the last answer that was written to a view.
func (d *Discovery) Announced(view string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.announced[view]
}

// Known returns the list as a scheduler's configuration has it.
func (d *Discovery) Known() []byte { return d.KnownAt(nil) }

// KnownAt returns it with the hosts' addresses as a view has them.
func (d *Discovery) KnownAt(dial func(host, addr string) string) []byte {
	known, _ := json.Marshal(d.since(0, dial))
	return known
}
