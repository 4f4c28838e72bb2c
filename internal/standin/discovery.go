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
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Zone   string  `json:"site"`
	Kind   string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// A Price is what discovery's calls cost: it serves them one after another. The zero
// value costs nothing. A watch costs only when it is answered.
type Price struct {
	Call, Line time.Duration // for each call, and for each host in its answer
	Patience   time.Duration // a call that has waited longer for its turn ends in 503
}

// Calls is what discovery has been asked.
type Calls struct {
	Asked, Answered, Refused int
	Most                     int // that came in one second
	Waiting                  int // for their turn now
}

// Discovery serves the machine list and watches on it.
type Discovery struct {
	*Server
	Price Price // set before the first call

	turn chan struct{}

	mu      sync.Mutex
	seq     int
	oldest  int // version before which changes are no longer known
	hosts   []host
	places  map[string]int // of each host in hosts
	at      map[string]int // the version in which each host last changed, also those that left
	changed chan struct{}
	calls   Calls
	seconds map[int64]int
	first   map[string]time.Time // first answer to each view
	told    map[string]int       // version of the last answer to each view
	writes  map[string][]Write
	changes []Change
	spoiler spoiler
}

// StartDiscovery starts a discovery that knows these nodes.
func StartDiscovery(nodes ...*Node) (*Discovery, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	return DiscoveryOn(l, nodes...), nil
}

func DiscoveryOn(l net.Listener, nodes ...*Node) *Discovery {
	d := &Discovery{
		changed: make(chan struct{}), turn: make(chan struct{}, 1), at: map[string]int{}, places: map[string]int{},
		seconds: map[int64]int{}, first: map[string]time.Time{}, told: map[string]int{}, writes: map[string][]Write{},
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
func (d *Discovery) Put(n *Node, health string) {
	h := host{Host: n.Name, Dial: n.Addr(), Zone: n.Zone, Kind: n.Kind, Health: health, Share: 1}
	if n.Pod != nil {
		h.Block = n.Pod.Number
	}
	if n.Via != "" {
		h.Dial = n.Via
	}
	if !n.Started.IsZero() {
		h.Born = n.Started.UnixMilli()
	}
	d.tell(h)
}

// An Entry is a host of the list behind which there is no node, as hollow fleets have them.
type Entry struct {
	Host, Dial, Zone, Kind string
	Health                 string // active, leaving, or left
	Born                   time.Time
}

// Tell says how hosts without a node are, all in one change of the list.
func (d *Discovery) Tell(entries ...Entry) {
	hosts := make([]host, len(entries))
	for i, e := range entries {
		hosts[i] = host{Host: e.Host, Dial: e.Dial, Zone: e.Zone, Kind: e.Kind, Health: e.Health, Share: 1}
		if !e.Born.IsZero() {
			hosts[i].Born = e.Born.UnixMilli()
		}
	}
	d.tell(hosts...)
}

// tell takes hosts into the list, in one change of it.
func (d *Discovery) tell(hosts ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range hosts {
		at, there := d.places[h.Host]
		switch {
		case h.Health == "left" && there:
			d.drop(at)
		case there:
			d.hosts[at] = h
		default:
			d.places[h.Host] = len(d.hosts)
			d.hosts = append(d.hosts, h)
		}
		d.at[h.Host] = d.seq
		d.changes = append(d.changes, Change{d.seq, h.Host, h.Health, time.Now()})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// drop takes a host out of the list.
func (d *Discovery) drop(at int) {
	delete(d.places, d.hosts[at].Host)
	d.hosts = append(d.hosts[:at:at], d.hosts[at+1:]...)
	for i := at; i < len(d.hosts); i++ {
		d.places[d.hosts[i].Host] = i
	}
}

// Version returns the list's version.
func (d *Discovery) Version() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq
}

// Compact forgets the changes so far: who asks for those since an older version gets the whole list.
func (d *Discovery) Compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.oldest = d.seq
}

// GoBack gives the list a lower version, as a discovery does that has lost what it wrote last.
func (d *Discovery) GoBack(version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq = version
	for host, at := range d.at {
		d.at[host] = min(at, version)
	}
}

func (d *Discovery) handle(c net.Conn, r *http.Request, view string, dial func(host, addr string) string) bool {
	q := r.URL.Query()
	index, _ := strconv.Atoi(q.Get("index"))
	now := time.Now()
	d.mu.Lock()
	d.calls.Asked++
	d.seconds[now.Unix()]++
	d.calls.Most = max(d.calls.Most, d.seconds[now.Unix()])
	changed, seq := d.changed, d.seq
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
		if spoilt, on := d.spoiler.spoil(c, answer); spoilt {
			return on
		}
		_, err = io.WriteString(c, answer)
	}
	if err == nil {
		d.mu.Lock()
		if d.first[view].IsZero() {
			d.first[view] = time.Now()
		}
		d.told[view] = list.Version
		d.writes[view] = append(d.writes[view], Write{list.Version, time.Now()})
		d.mu.Unlock()
	}
	return err == nil
}

// A list is an answer.
type list struct {
	Version int    `json:"seq"`
	Whole   bool   `json:"whole"`
	Hosts   []host `json:"hosts"`
}

// since returns what has changed since a version, or the whole list if it is not known.
func (d *Discovery) since(version int, dial func(host, addr string) string) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.seq, Whole: version <= 0 || version > d.seq || version < d.oldest, Hosts: []host{}}
	here := map[string]bool{}
	for _, h := range d.hosts {
		here[h.Host] = true
		if l.Whole || d.at[h.Host] > version {
			if dial != nil {
				h.Dial = dial(h.Host, h.Dial)
			}
			l.Hosts = append(l.Hosts, h)
		}
	}
	for name, at := range d.at {
		if !l.Whole && !here[name] && at > version {
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
		d.calls.Refused += refused
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
	at := d.first[view]
	delete(d.first, view)
	return at
}

// Told returns the version of the last answer that was written to a view.
func (d *Discovery) Told(view string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[view]
}

// Known returns the list as a scheduler's configuration has it.
func (d *Discovery) Known() []byte { return d.KnownAt(nil) }

// KnownAt returns it with the hosts' addresses as a view has them.
func (d *Discovery) KnownAt(dial func(host, addr string) string) []byte {
	known, _ := json.Marshal(d.since(0, dial))
	return known
}
