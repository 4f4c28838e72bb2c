package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A deployment is the size of what a hollow scheduler is told.
type deployment struct {
	workers, schedulers, teams int
}

// classes of the hollow deployment: most jobs are light and may be repeated, some are heavy and may not.
var classes = []map[string]any{
	{"name": "light", "aim": 500 * time.Millisecond, "deadline": 5 * time.Second, "effect": "idempotent", "gain": 1},
	{"name": "heavy", "aim": 2 * time.Second, "deadline": 25 * time.Second, "effect": "at_most_once", "gain": 5},
}

// document returns the settings of scheduler number 0, as they stand in its configuration.
func (d deployment) settingsDocument() ([]byte, error) {
	var teams []map[string]any
	for i := range d.teams {
		teams = append(teams, map[string]any{"name": teamName(i), "quotaRps": 10 * (1 + i%7)})
	}
	var zones, kinds []string
	for i := range TargetZones {
		zones = append(zones, zoneName(i))
	}
	for i := range assumedKinds {
		kinds = append(kinds, kindName(i))
	}
	return json.Marshal(map[string]any{
		"balancers": d.schedulers, "slotNo": 0, "discovery": "subscribe", "dcs": zones, "zone": zones[0], "flavors": kinds,
		"grades": classes, "projects": teams,
		"familyInfo": map[string]any{"classStretch": []float64{2, 2}, "tellsStart": true},
		"bounds": map[string]any{
			"cancel": true, "retryAfter": true, "maxRetryAfter": 2 * time.Second, "maxAttempts": 3,
			"connIdle": 30 * time.Second, "connectTimeout": time.Second, "streamsPerConn": 1,
		},
		"obligations": map[string]any{
			"mustAskIn": 10 * time.Second, "startCapacity": 0.14, "warmAfter": 24 * time.Second,
			"fallMultiple": 3, "fall": time.Second,
		},
	})
}

// settings returns the same, read.
func (d deployment) settings() (*config.Settings, error) {
	text, err := d.settingsDocument()
	if err != nil {
		return nil, err
	}
	return config.ParseSettings(text)
}

// worker returns a hollow worker by its number.
func hollowWorker(i int) foxlift.Worker {
	return foxlift.Worker{ID: workerName(i), Zone: i % TargetZones, Kind: i % assumedKinds, Cell: i / 8}
}

// Names of hollow workers, zones, kinds and teams, by their numbers.
func workerName(i int) string { return fmt.Sprintf("worker-%05d", i) }
func zoneName(i int) string   { return fmt.Sprintf("zone-%02d", i) }
func kindName(i int) string   { return fmt.Sprintf("kind-%d", i) }
func teamName(i int) string   { return fmt.Sprintf("team-%02d", i) }

func (d deployment) endpoints() []foxlift.Worker {
	list := make([]foxlift.Worker, d.workers)
	for i := range list {
		list[i] = hollowWorker(i)
	}
	return list
}

// tick is longer than the module's own, so that each step with nothing to do is a tick.
const idleTickInterval = 100 * time.Millisecond

// A hollowModule is a decision module on a virtual clock.
type hollowModule struct {
	*foxlift.Dispatcher
	now  int64
	jobs uint64
}

// module returns a module that knows the whole list.
func (d deployment) module() (*hollowModule, error) {
	s, err := d.settings()
	if err != nil {
		return nil, err
	}
	m, err := foxlift.New(s.Module, 1)
	if err != nil {
		return nil, err
	}
	h := &hollowModule{Dispatcher: m, now: int64(time.Second)}
	h.step(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsComplete, Workers: d.endpoints()})
	return h, nil
}

func (h *hollowModule) step(events ...foxlift.Event) []foxlift.Action {
	h.now += int64(time.Millisecond)
	return h.Step(h.now, events)
}

// idle is a tick with nothing to do.
func (h *hollowModule) idleTick() {
	h.now += int64(idleTickInterval)
	h.Step(h.now, nil)
}

// job is a job's whole life: it comes, is sent, starts and is served. It reports whether it was sent.
func (h *hollowModule) runJob(team int, key uint64) bool {
	h.jobs++
	r := foxlift.Request{ID: h.jobs, Tenant: team, Key: key, Deadline: h.now + int64(5*time.Second)}
	for _, a := range h.step(foxlift.Event{Kind: foxlift.EventRequest, Request: r}) {
		if a.Kind == foxlift.ActionSend {
			e := foxlift.Event{Kind: foxlift.EventStarted, ID: a.ID, Attempt: a.Attempt, Worker: a.Worker}
			done := e
			done.Kind, done.Code, done.Ended, done.Took = foxlift.EventOutcome, foxlift.Served, true, int64(time.Millisecond)
			h.step(e, done)
			return true
		}
	}
	return false
}

// begin has a task sent that runs on; it reports whether it was sent.
func (h *hollowModule) startTask(team int) bool {
	h.jobs++
	r := foxlift.Request{ID: h.jobs, Class: 1, Tenant: team, Deadline: h.now + int64(time.Hour)}
	for _, a := range h.step(foxlift.Event{Kind: foxlift.EventRequest, Request: r}) {
		if a.Kind == foxlift.ActionSend {
			h.step(foxlift.Event{Kind: foxlift.EventStarted, ID: a.ID, Attempt: a.Attempt, Worker: a.Worker})
			return true
		}
	}
	return false
}

// change lets a worker drain, or come back.
func (h *hollowModule) updateWorker(i int, state foxlift.WorkerState) {
	w := hollowWorker(i)
	w.State = state
	h.step(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsDelta, Workers: []foxlift.Worker{w}})
}

// A hollowCore is a core without sockets: jobs that it sends stay out until they are ended.
type hollowCore struct {
	*core.Core
	barrier chan struct{}
	reports []func(core.Report)
}

// core returns a started core that knows the whole list.
func (d deployment) core() (*hollowCore, error) {
	s, err := d.settings()
	if err != nil {
		return nil, err
	}
	c, err := core.New(core.Config{Settings: s, Seed: 1, Clock: core.NewClock(), Counters: &counters.Set{}})
	if err != nil {
		return nil, err
	}
	h := &hollowCore{Core: c, barrier: make(chan struct{})}
	c.Start(core.Environment{
		Workers: h, EndpointWatch: h, MaxOpen: TargetTasks, CachedEndpoints: d.endpoints(),
	})
	h.awaitStep()
	return h, nil
}

// await returns when the core has done all that was asked of it before. The first answer comes while the
// events of a step are taken in, the second in the next step.
func (h *hollowCore) awaitStep() {
	for range 2 {
		h.Accept(&core.Job{ID: "barrier", Class: "unknown", Client: barrierClient(h.barrier)})
		<-h.barrier
	}
}

// A barrier is the submitter of a job that is refused at once.
type barrierClient chan struct{}

func (b barrierClient) Answer(core.Answer) { b <- struct{}{} }
func (b barrierClient) Disconnected() bool { return false }

// change brings a change of the list and waits until it is in force.
func (h *hollowCore) updateWorker(i int, state foxlift.WorkerState) {
	w := hollowWorker(i)
	w.State = state
	h.UpdateEndpoints(foxlift.EndpointsDelta, []foxlift.Worker{w})
	h.awaitStep()
}

// Send implements core.Nodes: the job starts and goes on running.
func (h *hollowCore) Send(_ string, _ *core.Job, _ core.AttemptLimits, report func(core.Report)) func() {
	h.reports = append(h.reports, report)
	return func() {}
}

// CloseIdle implements core.Nodes.
func (h *hollowCore) CloseIdle(string) {}

// Probe implements core.Nodes.
func (h *hollowCore) HealthCheck(string, func(core.Report)) {}

// Watch implements core.EndpointWatch.
func (h *hollowCore) Watch() {}

// heapInUse returns the bytes that are in use.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // what the first freed with a finalizer
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
