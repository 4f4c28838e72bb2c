package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A Behaviour is how a Node treats the jobs that reach it.
type Behaviour struct {
	Slower   float64 // its jobs take this many times as long; 0 counts as 1
	Draining bool    // it finishes what it has and turns new jobs away
	Hang     bool    // it takes jobs and answers none
	Fail     bool    // it answers "failed" at once
	FailOne  int64   // it does so for one of so many jobs; 0: for none
	CutAfter int     // it resets the connection after this many bytes of its answer; 0: never
}

// A Cold is how a node that has just started comes to its speed, and what it bears until then.
type SlowStart struct {
	InitialCapacity  float64       // share of its capacity that it starts with
	Duration         time.Duration // it has all of it after this
	OverloadMultiple float64       // sent more than so many times what it can do
	OverloadWindow   time.Duration // within this, it falls over and stays down
}

// A Node is an execute node: slots, a bounded queue in order, and a log of what it
// really ran.
type Worker struct {
	Name, Zone, Kind string
	Work             func(class string) time.Duration // how long a job runs
	Started          time.Time                        // reported as its start; zero: long ago
	Via              string                           // the address that discovery tells; "": its own
	SlowStart        *SlowStart                       // nil: it is warm at once and bears anything
	Group            *DedupGroup                      // nil: it knows no repeats
	Reports          bool                             // its last words bring a load report

	server    *Server
	slots     chan struct{}
	admitted  chan struct{}
	behaviour atomic.Pointer[Behaviour]
	requests  atomic.Int64 // with a job
	mu        sync.Mutex
	runs      map[string]int
	arrivals  []Arrival
	tenants   map[string]int
	lately    []sent // within Cold.Window, while it is cold
	fallen    bool
}

// A sent is work that reached a cold node.
type sent struct {
	at   time.Time
	work time.Duration
}

// warmth is the share of its capacity that a node has.
func (n *Worker) capacityFraction(now time.Time) float64 {
	if n.SlowStart == nil || n.Started.IsZero() {
		return 1
	}
	return min(1, n.SlowStart.InitialCapacity+(1-n.SlowStart.InitialCapacity)*float64(now.Sub(n.Started))/float64(n.SlowStart.Duration))
}

// bears takes in work that has arrived, and reports whether the node still stands. The
// heaviest job is not counted: one alone is no push.
func (n *Worker) canAbsorb(work time.Duration) bool {
	now := time.Now()
	w := n.capacityFraction(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	if w >= 1 || n.fallen {
		return !n.fallen
	}
	n.lately = append(n.lately, sent{now, work})
	for now.Sub(n.lately[0].at) > n.SlowStart.OverloadWindow {
		n.lately = n.lately[1:]
	}
	var sum, most time.Duration
	for _, s := range n.lately {
		sum += s.work
		most = max(most, s.work)
	}
	n.fallen = float64(sum-most) > n.SlowStart.OverloadMultiple*float64(cap(n.slots))*w*float64(n.SlowStart.OverloadWindow)
	return !n.fallen
}

// Fallen reports whether the node was pushed over.
func (n *Worker) Fallen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fallen
}

// StartNode starts a node with so many slots and places in its queue.
func StartNode(name, zone, kind string, slots, queue int, work func(string) time.Duration) (*Worker, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	return WorkerOn(l, name, zone, kind, slots, queue, work), nil
}

func WorkerOn(l net.Listener, name, zone, kind string, slots, queue int, work func(string) time.Duration) *Worker {
	n := &Worker{
		Name: name, Zone: zone, Kind: kind, Work: work, runs: map[string]int{}, tenants: map[string]int{},
		slots: make(chan struct{}, slots), admitted: make(chan struct{}, slots+queue),
	}
	n.behaviour.Store(&Behaviour{})
	n.server = Serve(l, n.handle)
	return n
}

// Behave changes how the node treats jobs from now on.
func (n *Worker) Behave(b Behaviour) { n.behaviour.Store(&b) }

// Addr returns where the node listens.
func (n *Worker) Addr() string { return n.server.Addr().String() }

// Crash ends the node as a killed process does.
func (n *Worker) Crash() {
	n.server.Close()
	n.server.Reset()
}

// Requests returns how many whole requests with a job have been read here, also those that
// were turned away. Probes are none.
func (n *Worker) Requests() int64 { return n.requests.Load() }

// LastBegun returns when the first byte of the last request came, also of one that was not whole.
func (n *Worker) LastBegun() time.Time { return n.server.LastBegun() }

// Runs returns how often each job was begun here.
func (n *Worker) Runs() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	runs := make(map[string]int, len(n.runs))
	for id, k := range n.runs {
		runs[id] = k
	}
	return runs
}

// Tenants returns how many jobs of each tenant were begun here.
func (n *Worker) Tenants() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	tenants := make(map[string]int, len(n.tenants))
	for t, k := range n.tenants {
		tenants[t] = k
	}
	return tenants
}

func (n *Worker) handle(c net.Conn, r *http.Request, id string) bool {
	b := *n.behaviour.Load()
	if id != "" {
		n.mu.Lock()
		n.arrivals = append(n.arrivals, arrival(n.Name, id, r))
		n.mu.Unlock()
		if number := n.requests.Add(1); b.FailOne > 0 && number%b.FailOne == 0 {
			b.Fail = true
		}
	}
	if b.Draining {
		return rejectJob(c)
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	work := n.Work(class)
	if !n.canAbsorb(work) || b.Hang {
		io.Copy(io.Discard, c) // until the scheduler gives up
		return false
	}
	if n.Group != nil {
		first, done := n.Group.enter(r.Header.Get("Idempotency-Key"))
		if !first { // it has run here or runs: the answer is the first one's
			<-done
			return SayStates(c, id, true, fmt.Sprintf(`"done","result":"%s again"`, id))
		}
		defer close(done)
	}
	select {
	case n.admitted <- struct{}{}:
	default:
		if n.Group != nil {
			n.Group.forget(r.Header.Get("Idempotency-Key")) // turned away unseen
		}
		return rejectJob(c)
	}
	defer func() { <-n.admitted }()
	n.slots <- struct{}{}
	defer func() { <-n.slots }()
	n.mu.Lock()
	n.runs[id]++
	n.tenants[r.Header.Get("X-Org")]++
	n.mu.Unlock()
	if b.Fail {
		return SayStates(c, id, true, `"failed"`)
	}
	w := &cutter{Conn: c, remaining: b.CutAfter}
	if !SayStates(w, id, false, `"started"`) && n.Group == nil {
		return false
	}
	if work > 0 {
		work = time.Duration(float64(work) / n.capacityFraction(time.Now()))
		if b.Slower > 0 {
			work = time.Duration(float64(work) * b.Slower)
		}
		<-time.After(work)
	}
	_, err := io.WriteString(w, chunk(id, fmt.Sprintf(`"done","result":"%s of %s by %s\n"`, id, class, n.Name)+n.report())+"0\r\n\r\n")
	return err == nil
}

// rejectJob answers a job that is not taken.
func rejectJob(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// A cutter resets a connection once so many bytes have been written.
type cutter struct {
	net.Conn
	remaining int // 0: never
}

func (w *cutter) Write(p []byte) (int, error) {
	if w.remaining == 0 || len(p) < w.remaining {
		w.remaining = max(0, w.remaining-len(p))
		return w.Conn.Write(p)
	}
	n, _ := w.Conn.Write(p[:w.remaining])
	if tcp, ok := w.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	w.Conn.Close()
	return n, net.ErrClosed
}

// report is a load report as the last line of an answer has it; "" without reports.
func (n *Worker) report() string {
	if !n.Reports {
		return ""
	}
	return fmt.Sprintf(`,"load":%s`, n.load())
}

// load counts the job that is about to end as ended.
func (n *Worker) load() string {
	running, held := max(0, len(n.slots)-1), max(0, len(n.admitted)-1)
	return fmt.Sprintf(`{"backlog":%d,"outstanding":%d,"x0":%d}`, max(0, held-running), held, cap(n.slots)-running)
}
