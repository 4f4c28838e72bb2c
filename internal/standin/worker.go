package standin

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A Behaviour is how a Worker treats the jobs that reach it.
type Behaviour struct {
	SlowdownFactor  float64 // its jobs take this many times as long; 0 counts as 1
	Draining        bool    // it finishes what it has and rejects new jobs
	Hang            bool    // it takes jobs and answers none
	Fail            bool    // it answers "failed" at once
	FailEvery       int64   // it does so for one of so many jobs; 0: for none
	ResetAfterBytes int     // it resets the connection after this many bytes of its answer; 0: never
}

// A WorkerSpec is what a worker is made of.
type WorkerSpec struct {
	Name, Zone, Kind string
	Slots            int                              // jobs that run at a time
	Queue            int                              // jobs that wait for a slot
	ServiceTime      func(class string) time.Duration // how long a job runs
}

// A Worker has slots, a bounded queue in order, and a log of what it really ran.
type Worker struct {
	WorkerSpec
	Started         time.Time   // reported as its start; zero: long ago
	AnnouncedAddr   string      // the address that discovery tells; "": its own
	SlowStart       *SlowStart  // nil: it is warm at once and bears anything
	Group           *DedupGroup // nil: it knows no repeats
	SendLoadReports bool        // the end of its answers brings a load report

	server    *Server
	slots     chan struct{}
	admitted  chan struct{}
	behaviour atomic.Pointer[Behaviour]
	requests  atomic.Int64 // with a job

	mu         sync.Mutex
	runs       map[string]int // by job
	tenants    map[string]int
	arrivals   []Arrival
	recent     []recentJob // within SlowStart.OverloadWindow, during slow start
	overloaded bool
}

// StartWorker starts a worker on a free port of loopback.
func StartWorker(spec WorkerSpec) (*Worker, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	return WorkerOn(l, spec), nil
}

// WorkerOn starts a worker on a listener, which it owns from then on.
func WorkerOn(l net.Listener, spec WorkerSpec) *Worker {
	w := &Worker{
		WorkerSpec: spec,
		runs:       map[string]int{},
		tenants:    map[string]int{},
		slots:      make(chan struct{}, spec.Slots),
		admitted:   make(chan struct{}, spec.Slots+spec.Queue),
	}
	w.behaviour.Store(&Behaviour{})
	w.server = Serve(l, w.handle)
	return w
}

// Behave changes how the worker treats jobs from now on.
func (w *Worker) SetBehaviour(b Behaviour) { w.behaviour.Store(&b) }

// Addr returns where the worker listens.
func (w *Worker) Addr() string { return w.server.Addr().String() }

// Crash ends the worker as a killed process does.
func (w *Worker) Crash() {
	w.server.Close()
	w.server.Reset()
}

// Requests returns how many whole requests with a job have been read here, also those that
// were rejected. Health checks are none.
func (w *Worker) Requests() int64 { return w.requests.Load() }

// LastBegun returns when the first byte of the last request came, also of one that was not whole.
func (w *Worker) LastBegun() time.Time { return w.server.LastRequestTime() }

// Runs returns how often each job was begun here.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.runs)
}

// Tenants returns how many jobs of each tenant were begun here.
func (w *Worker) Tenants() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.tenants)
}

func (w *Worker) handle(c net.Conn, r *http.Request, id string) bool {
	behaviour := *w.behaviour.Load()
	if id != "" {
		number := w.recordArrival(id, r)
		if behaviour.FailEvery > 0 && number%behaviour.FailEvery == 0 {
			behaviour.Fail = true
		}
	}
	if behaviour.Draining {
		return rejectJob(c)
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	serviceTime := w.ServiceTime(class)
	if !w.acceptsDuringSlowStart(serviceTime) || behaviour.Hang {
		awaitClose(c)
		return false
	}
	key := r.Header.Get(headerIdempotencyKey)
	if w.Group != nil {
		first, done := w.Group.register(key)
		if !first { // it has run here or runs: the answer is the first one's
			<-done
			return WriteStates(c, id, true, fmt.Sprintf(`"done","result":"%s again"`, id))
		}
		defer close(done)
	}
	select {
	case w.admitted <- struct{}{}:
	default:
		if w.Group != nil {
			w.Group.remove(key) // it did not run
		}
		return rejectJob(c)
	}
	defer func() { <-w.admitted }()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	if id != "" { // a health check is no job
		w.recordRun(id, r.Header.Get(headerTenant))
	}
	if behaviour.Fail {
		return WriteStates(c, id, true, `"failed"`)
	}
	return w.run(&resettingConn{Conn: c, remaining: behaviour.ResetAfterBytes}, id, class, serviceTime, behaviour)
}

// run plays a job that has its slot, and reports whether the connection goes on.
func (w *Worker) run(c net.Conn, id, class string, serviceTime time.Duration, behaviour Behaviour) bool {
	if !WriteStates(c, id, false, `"started"`) && w.Group == nil {
		return false
	}
	if serviceTime > 0 {
		runTime := float64(serviceTime) / w.capacityFraction(time.Now())
		if behaviour.SlowdownFactor > 0 {
			runTime *= behaviour.SlowdownFactor
		}
		<-time.After(time.Duration(runTime))
	}
	state := fmt.Sprintf(`"done","result":"%s of %s by %s\n"`, id, class, w.Name)
	return writeText(c, chunk(id, state+w.loadReportField())+lastChunk)
}

// recordArrival keeps that a request with a job has come, and returns its number, counted from 1.
func (w *Worker) recordArrival(id string, r *http.Request) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, newArrival(w.Name, id, r))
	return w.requests.Add(1)
}

func (w *Worker) recordRun(id, tenant string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.tenants[tenant]++
}

// report is a load report as the end of an answer has it; "" without reports.
func (w *Worker) loadReportField() string {
	if !w.SendLoadReports {
		return ""
	}
	return fmt.Sprintf(`,"load":%s`, w.loadReport())
}

// load counts the job that is about to end as ended.
func (w *Worker) loadReport() string {
	running := max(0, len(w.slots)-1)
	admitted := max(0, len(w.admitted)-1)
	return fmt.Sprintf(`{"backlog":%d,"outstanding":%d,"x0":%d}`,
		max(0, admitted-running), admitted, cap(w.slots)-running)
}

// rejectJob answers a job that is not taken.
func rejectJob(c net.Conn) bool {
	return writeText(c, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
}

// A cutter resets a connection once so many bytes have been written.
type resettingConn struct {
	net.Conn
	remaining int // 0: never
}

// Write implements io.Writer.
func (c *resettingConn) Write(p []byte) (int, error) {
	if c.remaining == 0 || len(p) < c.remaining {
		c.remaining = max(0, c.remaining-len(p))
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.remaining]) // the connection ends either way
	ResetConn(c.Conn)
	return n, net.ErrClosed
}
