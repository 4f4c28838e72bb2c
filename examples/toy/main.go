// Command toy stands in for a deployment: discovery on 127.0.0.1:8500 and two
// execute nodes, of which each runs two jobs at a time. A reading takes 0.3 s, a
// ratify 1.5 s. SIGUSR1 makes the second node drain, and SIGUSR1 again brings it
// back. It is for trying foxlift by hand, not for measuring it.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var nodes = []string{"127.0.0.1:3101", "127.0.0.1:3102"}

const (
	discovery = "127.0.0.1:8500"
	slots     = 2 // jobs that a node runs at a time
	waiting   = 4 // jobs that may wait there; more are turned away
)

func main() {
	d := &list{version: 1, changed: make(chan struct{})}
	for i, addr := range nodes {
		n := &node{name: fmt.Sprint("toy-", i), slots: make(chan struct{}, slots), room: make(chan struct{}, slots+waiting)}
		go serve(addr, n.answer)
	}
	go serve(discovery, d.answer)
	log.Printf("discovery on %s, nodes on %s", discovery, strings.Join(nodes, " and "))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		d.toggle()
	}
}

// serve answers the requests on an address, one after another on each connection.
func serve(addr string, answer func(w io.Writer, r *http.Request) error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			defer c.Close()
			for br := bufio.NewReader(c); ; {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				if err := answer(c, r); err != nil {
					return
				}
			}
		}()
	}
}

// A node is an execute node.
type node struct {
	name        string
	slots, room chan struct{}
}

func (n *node) answer(w io.Writer, r *http.Request) error {
	id := r.Header.Get("X-Txn")
	select {
	case n.room <- struct{}{}:
		defer func() { <-n.room }()
	default:
		log.Printf("%s turns %s away", n.name, id)
		_, err := io.WriteString(w, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	n.slots <- struct{}{}
	defer func() { <-n.slots }()
	log.Printf("%s runs %s", n.name, id)
	n.note(w, id, `"started"`)
	run := 300 * time.Millisecond
	if strings.HasPrefix(r.URL.Path, "/ratify") {
		run = 1500 * time.Millisecond
	}
	<-time.After(run / 2)
	n.note(w, id, `"running","share":0.5`)
	<-time.After(run / 2)
	n.note(w, id, fmt.Sprintf(`"done","result":"%s from %s\n"`, r.URL.Path, n.name))
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// note writes a line of the answer as a chunk.
func (n *node) note(w io.Writer, id, state string) {
	line := fmt.Sprintf(`{"id":%q,"from":%q,"state":%s}`+"\n", id, n.name, state)
	fmt.Fprintf(w, "%x\r\n%s\r\n", len(line), line)
}

// A list is discovery's list of the nodes.
type list struct {
	mu      sync.Mutex
	version int
	drains  bool // the second node
	changed chan struct{}
}

func (d *list) toggle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.drains = !d.drains
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *list) answer(w io.Writer, r *http.Request) error {
	q := r.URL.Query()
	d.mu.Lock()
	changed, version := d.changed, d.version
	d.mu.Unlock()
	if q.Get("index") == strconv.Itoa(version) {
		ms, _ := strconv.Atoi(q.Get("wait"))
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	}
	d.mu.Lock()
	var hosts []string
	for i, addr := range nodes {
		health := "active"
		if i == 1 && d.drains {
			health = "leaving"
		}
		hosts = append(hosts, fmt.Sprintf(`{"host":"toy-%d","dial":%q,"site":"stirling","class":"medium","block":0,`+
			`"health":%q,"share":1.0,"born_ms":0}`, i, addr, health))
	}
	body := fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.version, strings.Join(hosts, ","))
	d.mu.Unlock()
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}
