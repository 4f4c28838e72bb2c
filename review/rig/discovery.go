package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`

	version int
}

// A Discovery is the list of workers, asked as the protocol page says.
type Discovery struct {
	Addr string
	// Before is called with each call before it is answered; if it returns false, it has answered the call itself.
	Before func(w http.ResponseWriter, r *http.Request) bool

	mu      sync.Mutex
	seq     int
	told    int // highest version written to a caller
	hosts   []Host
	changed chan struct{}
	server  *http.Server
}

// StartDiscovery starts discovery on an address.
func StartDiscovery(addr string) (*Discovery, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), seq: 1, changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Close ends discovery and resets its connections.
func (d *Discovery) Close() { _ = d.server.Close() }

// Put adds or changes an entry.
func (d *Discovery) Put(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	h.version = d.seq
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			d.hosts[i] = h
			close(d.changed)
			d.changed = make(chan struct{})
			return
		}
	}
	d.hosts = append(d.hosts, h)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Seq returns the version of the list.
func (d *Discovery) Seq() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq
}

// Told returns the highest version that was written to a caller.
func (d *Discovery) Told() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told
}

// Restore takes over the list of a discovery that has ended: the same service has come back.
func (d *Discovery) Restore(from *Discovery) {
	from.mu.Lock()
	defer from.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq, d.hosts = from.seq, from.hosts
}

// list returns the list, or with an index the entries that changed after it.
func (d *Discovery) list(index int) (seq int, hosts []Host, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		if index < 0 && h.Health != "left" || index >= 0 && h.version > index {
			hosts = append(hosts, h)
		}
	}
	return d.seq, hosts, d.changed
}

// List returns the whole list as JSON.
func (d *Discovery) List() json.RawMessage {
	seq, hosts, _ := d.list(-1)
	text, _ := json.Marshal(map[string]any{"seq": seq, "whole": true, "hosts": hosts})
	return text
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	if d.Before != nil && !d.Before(w, r) {
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil {
		index = -1
	}
	seq, hosts, changed := d.list(index)
	if index >= 0 && index >= seq {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		seq, hosts, _ = d.list(index)
	}
	if hosts == nil {
		hosts = []Host{}
	}
	text, _ := json.Marshal(map[string]any{"seq": seq, "whole": index < 0, "hosts": hosts})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = max(d.told, seq)
}
