// Command rig2 plays the cases review/6 to review/10: it starts the project's scheduler as a process of its own among
// stand-ins for discovery, workers and clients, and judges what they see.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// playLimit is the time after which a case is given up.
const playLimit = 110 * time.Second

// cannotRun ends a case that could not be played.
type cannotRun struct{ why string }

func fatal(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

// A record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fatal("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// listen returns a listener on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// A host is a worker in discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// A discovery is a stand-in for discovery that tells changes when they are made.
type discovery struct {
	delay time.Duration // for which a call waits for its turn; the time for which a watch may wait goes on meanwhile
	turns chan struct{} // in place of delay: one element for each call that may be handled; nil: not used

	mu       sync.Mutex
	seq      int64
	hosts    []host
	changed  chan struct{}
	changes  map[int64]host // by version
	listener net.Listener
	conns    []net.Conn // of listener
}

func newDiscovery(hosts []host, delay time.Duration) *discovery {
	d := &discovery{
		delay: delay, seq: 1, hosts: append([]host{}, hosts...), changed: make(chan struct{}), changes: map[int64]host{},
	}
	d.open()
	return d
}

// address returns where discovery listens.
func (d *discovery) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listener.Addr().String()
}

// open makes discovery listen at a new address.
func (d *discovery) open() {
	l := listen()
	d.mu.Lock()
	d.listener, d.conns = l, nil
	d.mu.Unlock()
	server := http.Server{Handler: d, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.listener == l {
				d.conns = append(d.conns, c)
			}
		}
	}}
	go server.Serve(l)
}

// move makes discovery listen at a new address. leave ends the old one: it accepts no new connection and closes the
// open ones after a time.
func (d *discovery) move(closeAfter time.Duration) (leave func()) {
	d.mu.Lock()
	listener, conns := d.listener, d.conns
	d.mu.Unlock()
	d.open()
	return func() {
		listener.Close()
		time.AfterFunc(closeAfter, func() {
			for _, c := range conns {
				c.Close()
			}
		})
	}
}

// put changes the entry of a worker, or adds it.
func (d *discovery) put(h host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.changes[d.seq] = h
	found := false
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			d.hosts[i], found = h, true
		}
	}
	if !found {
		d.hosts = append(d.hosts, h)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// handleInTurn makes discovery handle calls one after another, each for a time, and refuse those that wait too long.
func (d *discovery) handleInTurn(each func() time.Duration) {
	d.turns = make(chan struct{})
	go func() {
		for {
			d.turns <- struct{}{} // to the call that has waited longest
			time.Sleep(each())
		}
	}()
}

// refuseAfter is how long a call waits for its turn before it is refused, as in the site file.
const refuseAfter = 3 * time.Second

// awaitTurn waits for a call's turn. It returns false if that takes too long.
func (d *discovery) awaitTurn() bool {
	if d.turns == nil {
		return true
	}
	select {
	case <-d.turns:
		return true
	case <-time.After(refuseAfter):
		return false
	}
}

// ServeHTTP answers a call for the list or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(d.delay)
	if !d.awaitTurn() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.mu.Lock()
	for err == nil && index == d.seq {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			deadline = nil
			index = -2
		}
		d.mu.Lock()
	}
	hosts, whole := []host{}, err != nil || index >= 0 && index > d.seq
	switch {
	case whole || index == -1:
		for _, h := range d.hosts {
			if h.Health != "left" {
				hosts = append(hosts, h)
			}
		}
		whole = true
	case index >= 0:
		for v := index + 1; v <= d.seq; v++ {
			hosts = append(hosts, d.changes[v])
		}
	}
	text, _ := json.Marshal(map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts})
	d.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}

// A worker is a stand-in for a worker that runs every job at once.
type worker struct {
	name     string
	addr     string
	record   *record
	service  map[string]time.Duration // by class
	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	received []arrival
}

// An arrival is a request that a worker has read.
type arrival struct {
	id        string
	firstByte time.Time
}

func newWorker(name string, r *record, service map[string]time.Duration) *worker {
	l := listen()
	w := &worker{name: name, addr: l.Addr().String(), record: r, service: service, listener: l, conns: map[net.Conn]struct{}{}}
	go w.accept()
	return w
}

func (w *worker) host() host {
	return host{Host: w.name, Dial: w.addr, Site: "stirling", Class: "large", Health: "active", Share: 1}
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	w.mu.Lock()
	w.conns[c] = struct{}{}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Txn")
		if id == "" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		w.record.add("%s run %s remaining %s", w.name, id, req.Header.Get("X-Remaining"))
		w.mu.Lock()
		w.received = append(w.received, arrival{id, firstByte})
		w.mu.Unlock()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		w.line(c, id, `"state":"started"`)
		time.Sleep(w.service[req.Header.Get("X-Lane")])
		w.line(c, id, `"state":"done","result":"result of `+id+`"`)
		if _, err := fmt.Fprint(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// end ends the worker: its connections are reset, and new ones are refused.
func (w *worker) end() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// arrivals returns the requests that the worker has read.
func (w *worker) arrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival{}, w.received...)
}

func (w *worker) line(c net.Conn, id, rest string) {
	line := fmt.Sprintf(`{"id":"%s","from":"%s",%s}`+"\n", id, w.name, rest)
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line)
}

// A process is a process that the case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

var (
	startedMu sync.Mutex
	started   []*process
)

// killAll kills the processes that still run.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		p.cmd.Process.Kill()
		<-p.done
	}
}

// root returns the repository's root.
func root() string { return os.Getenv("RIG_ROOT") }

// deployKey returns the value of a key of the deploy file.
func deployKey(key string) string {
	text, err := os.ReadFile(filepath.Join(root(), "deploy", "balancer.toml"))
	if err != nil {
		fatal("%v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, key+" = "); ok {
			value, err := strconv.Unquote(rest)
			if err != nil {
				fatal("deploy file: %s: %v", key, err)
			}
			return value
		}
	}
	fatal("deploy file: no %s", key)
	return ""
}

// startScheduler starts a scheduler by the run command of the deploy file.
func startScheduler(name string, p *play, environment ...string) *process {
	log, err := os.Create(filepath.Join(p.directory, name+".log"))
	if err != nil {
		fatal("%v", err)
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", deployKey("run"))
	cmd.Dir, cmd.Stdout, cmd.Stderr = root(), log, log
	cmd.Env = append(os.Environ(), environment...)
	if err := cmd.Start(); err != nil {
		fatal("start of the scheduler: %v", err)
	}
	child := &process{cmd: cmd, done: make(chan struct{})}
	startedMu.Lock()
	started = append(started, child)
	startedMu.Unlock()
	go func() {
		cmd.Wait()
		close(child.done)
	}()
	return child
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// exited reports whether the process has ended.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// get returns the status of a GET; 0 if there was no answer.
func get(address, path string) int {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// awaitStatus waits until a GET is answered with 200.
func awaitStatus(address, path string, limit time.Duration) {
	for deadline := time.Now().Add(limit); get(address, path) != 200; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			fatal("no 200 from %s%s in %v", address, path, limit)
		}
	}
}

// writeJSON writes a configuration.
func writeJSON(path string, value any) {
	text, err := json.MarshalIndent(value, "", " ")
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		fatal("%v", err)
	}
}

// settings returns settings like those of the example of the pages, with a deadline for the class reading.
func settings(readingDeadline time.Duration) map[string]any {
	return map[string]any{
		"balancers": 1, "slotNo": 0, "discovery": "subscribe",
		"dcs": []string{"stirling", "inverness"}, "zone": "stirling", "flavors": []string{"large", "medium", "old"},
		"grades": []map[string]any{
			{"name": "reading", "aim": 500000000, "deadline": readingDeadline.Nanoseconds(), "effect": "idempotent", "gain": 1.0},
			{"name": "ratify", "aim": 2000000000, "deadline": 25000000000, "effect": "at_most_once", "gain": 5.0},
		},
		"projects": []map[string]any{
			{"name": "central-belt", "quotaRps": 40.0, "share": 0.6}, {"name": "islands", "quotaRps": 20.0, "share": 0.4},
		},
		"familyInfo": map[string]any{
			"classKind": []int{-1, -1}, "classPriority": []int{0, 1}, "classStretch": []float64{2.5, 2.0},
			"tellsStart": true, "progress": 1000000000,
		},
		"bounds": map[string]any{
			"cancel": true, "secondCopies": true, "retryAfter": true, "maxRetryAfter": 2000000000, "probes": true,
			"maxAttempts": 3, "maxOpen": 20000, "connIdle": 30000000000, "connectTimeout": 120000000, "streamsPerConn": 1,
		},
		"obligations": map[string]any{
			"drainGrace": 750000000, "graceToAnswer": 8000000, "mustAskIn": 10000000000, "startCapacity": 0.14,
			"warmAfter": 24000000000, "fallMultiple": 3.0, "fall": 1000000000,
		},
		"prices": map[string]any{"crossZone": 0.1, "handshake": 0.02, "probe": 0.0013},
	}
}

// A reply is what a client got for a request.
type reply struct {
	id     string
	status int           // 0: none
	took   time.Duration // from the last byte of the request to the last byte of the answer, or to the end of the wait
	ended  bool          // the connection ended without an answer
	err    error
}

// request returns the text of a request.
func request(class, id string, remaining time.Duration, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: central-belt\r\n"+
		"X-Remaining: %dm\r\nContent-Length: %d\r\n\r\n%s",
		class, id, class, remaining.Milliseconds(), len(body), body)
}

// await reads the answer to a request that was written at a time, until limit after it.
func await(c net.Conn, in *bufio.Reader, id string, sentAt time.Time, limit time.Duration) reply {
	c.SetReadDeadline(sentAt.Add(limit))
	r := reply{id: id}
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	r.took, r.err = time.Since(sentAt), err
	switch {
	case err == nil:
		r.status = resp.StatusCode
	case !os.IsTimeout(err):
		r.ended = true
	}
	return r
}

func (r reply) String() string {
	switch {
	case r.status != 0:
		return fmt.Sprintf("answer %d to %s after %.3f s", r.status, r.id, r.took.Seconds())
	case r.ended:
		return fmt.Sprintf("connection of %s ended without an answer after %.3f s (%v)", r.id, r.took.Seconds(), r.err)
	}
	return fmt.Sprintf("no answer to %s in %.3f s", r.id, r.took.Seconds())
}

// A play is what a case needs.
type play struct {
	record    *record
	directory string // temporary
	trouble   bool
}

var cases = map[string]func(*play) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(unable)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and ends all that it started.
func run(playCase func(*play) int, folder string) (code int) {
	directory, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer os.RemoveAll(directory)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(playLimit):
		}
		killAll()
		os.RemoveAll(directory)
		fmt.Fprintln(os.Stderr, "interrupted, or not at its end after", playLimit)
		os.Exit(unable)
	}()
	defer func() {
		killAll()
		switch e := recover().(type) {
		case nil:
		case cannotRun:
			fmt.Fprintln(os.Stderr, "cannot run:", e.why)
			code = unable
		default:
			panic(e)
		}
	}()
	p := &play{newRecord(filepath.Join(folder, "record.txt")), directory, os.Getenv("TROUBLE") != "0"}
	defer p.record.file.Close()
	code = playCase(p)
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", unable: "the case could not run"}[code]
	p.record.add("verdict: %s", verdict)
	fmt.Println(verdict)
	return code
}
