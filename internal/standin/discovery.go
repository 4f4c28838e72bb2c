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

// Discovery serves the machine list and watches on it.
type Discovery struct {
	*Server

	mu      sync.Mutex
	seq     int
	hosts   []host
	changed chan struct{}
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
	d := &Discovery{changed: make(chan struct{})}
	for _, n := range nodes {
		d.Put(n, "active")
	}
	d.Server = Serve(l, d.handle)
	return d
}

// Put says how a node is: active, leaving, or left.
func (d *Discovery) Put(n *Node, health string) {
	h := host{Host: n.Name, Dial: n.Addr(), Zone: n.Zone, Kind: n.Kind, Health: health, Share: 1}
	if n.Via != "" {
		h.Dial = n.Via
	}
	if !n.Started.IsZero() {
		h.Born = n.Started.UnixMilli()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	at := len(d.hosts)
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			at = i
		}
	}
	switch {
	case health == "left" && at < len(d.hosts):
		d.hosts = append(d.hosts[:at:at], d.hosts[at+1:]...)
	case at < len(d.hosts):
		d.hosts[at] = h
	default:
		d.hosts = append(d.hosts, h)
	}
	d.seq++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) handle(c net.Conn, r *http.Request, _ string) bool {
	q := r.URL.Query()
	d.mu.Lock()
	changed, seq := d.changed, d.seq
	d.mu.Unlock()
	if q.Get("index") == strconv.Itoa(seq) {
		ms, _ := strconv.Atoi(q.Get("wait"))
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	}
	d.mu.Lock()
	body, err := json.Marshal(map[string]any{"seq": d.seq, "whole": true, "hosts": d.hosts})
	d.mu.Unlock()
	if err == nil {
		_, err = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	return err == nil
}

// Known returns the list as a scheduler's configuration has it.
func (d *Discovery) Known() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, _ := json.Marshal(map[string]any{"seq": d.seq, "whole": true, "hosts": d.hosts})
	return known
}
