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

// A host is an entry of the endpoint list in the JSON format of discovery.
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

// The health of a worker in the endpoint list, as discovery spells it.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// A CallCost is the time that discovery needs for a call. Discovery with a nonzero CallCost serves one call at a time;
// the zero value serves calls at once and concurrently. A watch is charged when it is answered, not while it waits for
// a change.
type CallCost struct {
	PerCall, PerHost time.Duration // for each call, and for each host in its response
	MaxWait          time.Duration // a call that waits longer than this for earlier calls is answered with 503
}

// Calls counts the calls to discovery. A call counts as answered when discovery has done the work for it, even if its
// response is then corrupted or cannot be written. A rejected call was answered with 503 after CallCost.MaxWait.
type Calls struct {
	Received, Answered, Rejected int
	MaxPerSecond                 int // most calls received in one second of Unix time
	Waiting                      int // calls that wait for earlier calls, or are being served, now; 0 without a CallCost
}

// Discovery serves the endpoint list and watches on it. A view is a listener with a name through which one scheduler
// reads the list; Discovery's own Server is the view "". Close and Reset end only that Server.
type Discovery struct {
	*Server
	CallCost CallCost // set before the first call

	callSlot chan struct{}

	mu               sync.Mutex
	version          int
	compactedVersion int // oldest version since which changes are available
	hosts            []host
	positions        map[string]int // index of each host in hosts
	lastChange       map[string]int // version in which each host last changed, including removed hosts
	changed          chan struct{}  // closed and replaced at each change of the list
	calls            Calls
	callsPerSecond   map[int64]int        // calls received in each second of Unix time
	firstResponses   map[string]time.Time // first complete response to each view
	sentVersions     map[string]int       // version in the last complete response to each view
	writes           map[string][]Write
	changes          []Change
	corrupter        corrupter
}

// StartDiscovery starts discovery on a free loopback port, with these workers in its list.
func StartDiscovery(workers ...*Worker) (*Discovery, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	return DiscoveryOn(l, workers...), nil
}

// DiscoveryOn starts discovery on a listener, with these workers in its list. It takes ownership of the listener.
func DiscoveryOn(l net.Listener, workers ...*Worker) *Discovery {
	d := &Discovery{
		changed:        make(chan struct{}),
		callSlot:       make(chan struct{}, 1),
		lastChange:     map[string]int{},
		positions:      map[string]int{},
		callsPerSecond: map[int64]int{},
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

// View serves the same list on another listener under a name. dial maps a host and its address to the address that
// this view announces; nil keeps the addresses. dial must not call methods of d, which is locked meanwhile. The caller
// closes the Server.
func (d *Discovery) View(l net.Listener, name string, dial func(host, addr string) string) *Server {
	return Serve(l, func(c net.Conn, r *http.Request, _ string) bool { return d.handle(c, r, name, dial) })
}

// Put adds a worker to the list or updates it, with this health: Active or Leaving. Left removes a listed worker, but
// adds one that is not listed, with the health Left. Put reads the worker's exported fields, and each call makes a new
// version of the list.
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

// An Entry is a host of the list without a stand-in worker. The capacity measurements use such hosts for large fleets.
type Entry struct {
	Host, Dial, Zone, Kind string
	Health                 string    // Active, Leaving or Left
	StartedAt              time.Time // zero: not announced
}

// Announce adds, updates or removes hosts without a stand-in worker, all in one new version of the list. As with Put,
// Left adds a host that is not listed.
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

// update adds, updates or removes hosts in one new version of the list and wakes the watches. It adds a host with the
// health Left if the host is not listed.
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

// removeHost removes the host at an index from the list.
func (d *Discovery) removeHost(index int) {
	delete(d.positions, d.hosts[index].Host)
	d.hosts = append(d.hosts[:index:index], d.hosts[index+1:]...)
	for i := index; i < len(d.hosts); i++ {
		d.positions[d.hosts[i].Host] = i
	}
}

// Version returns the current version of the list: 0 before the first change.
func (d *Discovery) Version() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Compact discards the changes up to the current version: a call with an older version gets the complete list. The log
// that Changes returns stays.
func (d *Discovery) Compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.compactedVersion = d.version
}

// RevertVersion sets the list to a lower version, like a discovery that has lost its last writes. The hosts stay as
// they are, and waiting watches are not woken.
func (d *Discovery) RevertVersion(version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
	for host, at := range d.lastChange {
		d.lastChange[host] = min(at, version)
	}
}

// handle answers a call. A call that states the current version is a watch: it waits until the list changes or its wait
// time has passed.
func (d *Discovery) handle(c net.Conn, r *http.Request, view string, dial func(host, addr string) string) bool {
	query := r.URL.Query()
	since, _ := strconv.Atoi(query.Get("index")) // 0 if missing, which asks for the complete list
	changed, version := d.countCall(time.Now())
	if since == version {
		wait, _ := strconv.Atoi(query.Get("wait")) // 0 if missing, which does not wait
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

// countCall counts a call that was received at a time. It returns the current version of the list and a channel that is
// closed at its next change.
func (d *Discovery) countCall(now time.Time) (changed <-chan struct{}, version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	second := now.Unix()
	d.calls.Received++
	d.callsPerSecond[second]++
	d.calls.MaxPerSecond = max(d.calls.MaxPerSecond, d.callsPerSecond[second])
	return d.changed, d.version
}

// recordResponse records that a response with this version was written completely to a view.
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

// An endpointsResponse is the body of a response: the complete list, or the hosts that changed since a version.
type endpointsResponse struct {
	Version  int    `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []host `json:"hosts"`
}

// changesSince returns the hosts that have changed since a version. It returns the complete list for version 0, for a
// version before the last Compact, and for one above the current version.
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

// simulateCost waits until earlier calls are served, then for the time that a call with this number of hosts in its
// response costs. It returns false if the call waited longer than MaxWait for the earlier ones.
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

// Calls returns the counts of the calls so far.
func (d *Discovery) Calls() Calls {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// TakeFirstResponse returns when the first complete response was written to a view since the last call for it; zero if
// there was none.
func (d *Discovery) TakeFirstResponse(view string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.firstResponses[view]
	delete(d.firstResponses, view)
	return at
}

// SentVersion returns the list version in the last response that was written completely to a view; 0 if there was none.
func (d *Discovery) SentVersion(view string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sentVersions[view]
}

// ListJSON returns the complete list in the JSON format that the configuration of a scheduler uses.
func (d *Discovery) ListJSON() []byte { return d.ViewListJSON(nil) }

// ViewListJSON returns the list of ListJSON with the addresses mapped by dial, as in View.
func (d *Discovery) ViewListJSON(dial func(host, addr string) string) []byte {
	list, _ := json.Marshal(d.changesSince(0, dial)) // marshalling this type cannot fail
	return list
}
