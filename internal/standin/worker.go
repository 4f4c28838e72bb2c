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

// A Behaviour determines how a Worker handles the jobs that reach it. The zero value runs every job normally.
type Behaviour struct {
	SlowdownFactor  float64 // factor of the service time; 0 means 1
	Draining        bool    // finish admitted jobs, reject new ones
	Hang            bool    // read requests without a response
	Fail            bool    // answer jobs with "failed" once they have a slot; Runs counts them
	FailEvery       int64   // Fail for every n-th job; 0: for none
	ResetAfterBytes int     // reset the connection after this many bytes of the response to a job that runs; 0: never
}

// A WorkerSpec describes a worker.
type WorkerSpec struct {
	Name, Zone, Kind string
	Slots            int                              // most jobs that run concurrently
	Queue            int                              // most jobs that wait for a slot
	ServiceTime      func(class string) time.Duration // of a job, at full capacity; called concurrently, never nil
}

// A Worker runs jobs in slots, queues a bounded number of jobs, and logs the jobs that it received and ran. Its
// exported fields must be set before the first request arrives. Discovery.Put announces some of them.
type Worker struct {
	WorkerSpec
	Started         time.Time   // start time in the endpoint list; zero: none, and no slow start
	AnnouncedAddr   string      // address in the endpoint list; "": Addr
	SlowStart       *SlowStart  // nil: full capacity at once, and no overload
	Group           *DedupGroup // nil: no deduplication of repeats
	SendLoadReports bool        // append a load report to the final state of each job

	server    *Server
	slots     chan struct{} // one element for each running job
	admitted  chan struct{} // one element for each running or queued job
	behaviour atomic.Pointer[Behaviour]
	requests  atomic.Int64 // job requests read

	mu         sync.Mutex
	runs       map[string]int // times that each job was started, by job id
	tenants    map[string]int // jobs started of each tenant
	arrivals   []Arrival
	recent     []recentJob // jobs of the last SlowStart.OverloadWindow, during slow start
	overloaded bool
}

// StartWorker starts a worker on a free loopback port. Crash ends it.
func StartWorker(spec WorkerSpec) (*Worker, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	return WorkerOn(l, spec), nil
}

// WorkerOn starts a worker on a listener and takes ownership of the listener. Crash ends the worker.
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

// SetBehaviour changes how the worker handles the jobs that arrive from now on.
func (w *Worker) SetBehaviour(b Behaviour) { w.behaviour.Store(&b) }

// Addr returns the address on which the worker listens.
func (w *Worker) Addr() string { return w.server.Addr().String() }

// Crash closes the listener and resets all connections, as when the worker's process is killed. The goroutines of
// admitted jobs still end by themselves: Runs may count a queued job that starts after Crash.
func (w *Worker) Crash() {
	w.server.Close()
	w.server.Reset()
}

// Requests returns the number of complete job requests that the worker has read, including rejected ones and without
// health checks.
func (w *Worker) Requests() int64 { return w.requests.Load() }

// LastRequestTime returns when the first byte of the last request arrived, even if the request was incomplete; the Unix
// epoch, not the zero time, if there was none.
func (w *Worker) LastRequestTime() time.Time { return w.server.LastRequestTime() }

// Runs returns how many times the worker has started each job, by job id.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.runs)
}

// Tenants returns how many jobs of each tenant the worker has started.
func (w *Worker) Tenants() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.tenants)
}

// handle answers a job request or a health check; it implements Handler. A health check, which has no job id, is
// handled like a job but not logged.
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
		if !first { // the job has run or runs already: wait for it and repeat its result
			<-done
			return WriteStates(c, id, true, fmt.Sprintf(`"done","result":"%s again"`, id))
		}
		defer close(done)
	}
	select {
	case w.admitted <- struct{}{}:
	default:
		if w.Group != nil {
			w.Group.remove(key) // the job did not run
		}
		return rejectJob(c)
	}
	defer func() { <-w.admitted }()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	if id != "" { // a health check has no job id
		w.recordRun(id, r.Header.Get(headerTenant))
	}
	if behaviour.Fail {
		return WriteStates(c, id, true, `"failed"`)
	}
	return w.run(&resettingConn{Conn: c, remaining: behaviour.ResetAfterBytes}, id, class, serviceTime, behaviour)
}

// run simulates a job that has a slot: it waits for the service time and writes the states. It reports whether the
// connection can serve another request. If the client has disconnected before the first state is written, only a worker
// in a DedupGroup runs the job to its end.
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

// recordArrival logs the arrival of a job request and returns its number at this worker, from 1.
func (w *Worker) recordArrival(id string, r *http.Request) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, newArrival(w.Name, id, r))
	return w.requests.Add(1)
}

// recordRun logs the start of a job.
func (w *Worker) recordRun(id, tenant string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.tenants[tenant]++
}

// loadReportField returns the JSON field with the load report in the final state of a job; "" without SendLoadReports.
func (w *Worker) loadReportField() string {
	if !w.SendLoadReports {
		return ""
	}
	return fmt.Sprintf(`,"load":%s`, w.loadReport())
}

// loadReport returns the worker's load report as JSON. It is written when a job is about to end, so it does not count
// that job.
func (w *Worker) loadReport() string {
	running := max(0, len(w.slots)-1)
	admitted := max(0, len(w.admitted)-1)
	return fmt.Sprintf(`{"backlog":%d,"outstanding":%d,"x0":%d}`,
		max(0, admitted-running), admitted, cap(w.slots)-running)
}

// rejectJob writes the response that rejects a job without running it, and reports whether the write succeeded.
func rejectJob(c net.Conn) bool {
	return writeText(c, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
}

// A resettingConn resets a connection after a number of written bytes.
type resettingConn struct {
	net.Conn
	remaining int // bytes until the reset; 0: no reset
}

// Write implements io.Writer.
func (c *resettingConn) Write(p []byte) (int, error) {
	if c.remaining == 0 || len(p) < c.remaining {
		c.remaining = max(0, c.remaining-len(p))
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.remaining]) // the connection is reset in any case
	ResetConn(c.Conn)
	return n, net.ErrClosed
}
