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
type CallCost struct {
	PerCall, PerHost time.Duration // for each call, and for each host in its answer
	MaxWait          time.Duration // a call that has waited longer for its turn ends in 503
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
	CallCost CallCost // set before the first call

	callSlot chan struct{}

	mu               sync.Mutex
	version          int
	compactedVersion int // version before which changes are no longer known
	hosts            []host
	positions        map[string]int // of each host in hosts
	lastChange       map[string]int // the version in which each host last changed, also those that left
	changed          chan struct{}
	calls            Calls
	seconds          map[int64]int
	firstResponses   map[string]time.Time // first answer to each view
	sentVersions     map[string]int       // version of the last answer to each view
	writes           map[string][]Write
	changes          []Change
	corrupter        corrupter
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
		changed:        make(chan struct{}),
		callSlot:       make(chan struct{}, 1),
		lastChange:     map[string]int{},
		positions:      map[string]int{},
		seconds:        map[int64]int{},
		firstResponses: map[string]time.Time{},
		sentVersions:   map[string]int{},
		writes:         map[string][]Write{},
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
	if w.AnnouncedAddr != "" {
		h.Dial = w.AnnouncedAddr
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
		index, listed := d.positions[h.Host]
		switch {
		case h.Health == Left && listed:
			d.removeHost(index)
		case listed:
			d.hosts[index] = h
		default:
			d.positions[h.Host] = len(d.hosts)
			d.hosts = append(d.hosts, h)
		}
		d.lastChange[h.Host] = d.version
		d.changes = append(d.changes, Change{d.version, h.Host, h.Health, time.Now()})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// drop takes a host out of the list.
func (d *Discovery) removeHost(index int) {
	delete(d.positions, d.hosts[index].Host)
	d.hosts = append(d.hosts[:index:index], d.hosts[index+1:]...)
	for i := index; i < len(d.hosts); i++ {
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
	d.compactedVersion = d.version
}

// GoBack gives the list a lower version, as a discovery does that has lost what it wrote last.
func (d *Discovery) RevertVersion(version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
	for host, at := range d.lastChange {
		d.lastChange[host] = min(at, version)
	}
}

// handle answers a call: at once, or as a watch when the list changes or the watch's time is up.
func (d *Discovery) handle(c net.Conn, r *http.Request, view string, dial func(host, addr string) string) bool {
	query := r.URL.Query()
	since, _ := strconv.Atoi(query.Get("index")) // none: 0, which asks for the complete list
	changed, version := d.countCall(time.Now())
	if since == version {
		wait, _ := strconv.Atoi(query.Get("wait")) // none: 0, which does not wait
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	list := d.changesSince(since, dial)
	if !d.simulateCost(len(list.Hosts)) {
		return writeText(c, unavailableResponse)
	}
	body, err := json.Marshal(list)
	if err != nil {
		return false
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if corrupted, keepOpen := d.corrupter.corrupt(c, response); corrupted {
		return keepOpen
	}
	if !writeText(c, response) {
		return false
	}
	d.recordResponse(view, list.Version)
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
func (d *Discovery) recordResponse(view string, version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.firstResponses[view].IsZero() {
		d.firstResponses[view] = now
	}
	d.sentVersions[view] = version
	d.writes[view] = append(d.writes[view], Write{version, now})
}

// An endpointAnswer is a list as an answer brings it: complete or a delta.
type endpointsResponse struct {
	Version  int    `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []host `json:"hosts"`
}

// since returns what has changed since a version, or the complete list if the changes since are not known.
func (d *Discovery) changesSince(version int, dial func(host, addr string) string) endpointsResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := 0 < version && d.compactedVersion <= version && version <= d.version
	response := endpointsResponse{Version: d.version, Complete: !known, Hosts: []host{}}
	listed := map[string]bool{}
	for _, h := range d.hosts {
		listed[h.Host] = true
		if response.Complete || d.lastChange[h.Host] > version {
			if dial != nil {
				h.Dial = dial(h.Host, h.Dial)
			}
			response.Hosts = append(response.Hosts, h)
		}
	}
	for name, at := range d.lastChange {
		if !response.Complete && !listed[name] && at > version {
			response.Hosts = append(response.Hosts, host{Host: name, Health: Left})
		}
	}
	return response
}

// pay waits for the turn of a call and spends the time that it costs; false after too long a wait.
func (d *Discovery) simulateCost(hosts int) bool {
	count := func(waiting, answered, rejected int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.calls.Waiting += waiting
		d.calls.Answered += answered
		d.calls.Rejected += rejected
	}
	if d.CallCost == (CallCost{}) {
		count(0, 1, 0)
		return true
	}
	count(1, 0, 0)
	select {
	case d.callSlot <- struct{}{}:
		<-time.After(d.CallCost.PerCall + time.Duration(hosts)*d.CallCost.PerHost)
		<-d.callSlot
		count(-1, 1, 0)
		return true
	case <-time.After(d.CallCost.MaxWait):
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
func (d *Discovery) TakeFirstResponse(view string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.firstResponses[view]
	delete(d.firstResponses, view)
	return at
}

// Announced returns the version of the last answer that was written to a view.
func (d *Discovery) SentVersion(view string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sentVersions[view]
}

// Known returns the list as a scheduler's configuration has it.
func (d *Discovery) ListJSON() []byte { return d.ViewListJSON(nil) }

// KnownAt returns the same with the hosts' addresses as a view has them.
func (d *Discovery) ViewListJSON(dial func(host, addr string) string) []byte {
	list, _ := json.Marshal(d.changesSince(0, dial)) // the type has nothing that fails
	return list
}
