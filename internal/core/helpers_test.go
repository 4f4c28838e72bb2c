package core

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/counters"
)

const settings = `{"discovery":"automatic","bounds":{"cancel":true,"secondCopies":true,"maxAttempts":3,"maxOpen":2,
 "retryAfter":true,"maxRetryAfter":2000000000},"projects":[{"name":"t","quotaRps":1000}],
 "familyInfo":{"tellsStart":true},
 "grades":[{"name":"reading","aim":500000000,"deadline":20000000000,"effect":"idempotent"},
 {"name":"ratify","aim":500000000,"deadline":20000000000,"effect":"at_most_once"}]}`

// A rig is a core with fake workers, discovery and clients. Its event loop is not started: the test applies events
// on its own goroutine.
type rig struct {
	*Core
	sent          []func(Report) // report function of each attempt
	sentTo        []string       // worker of each attempt
	lastSentTo    string
	cancelled     int
	atMostOnceIDs []string // job id of each attempt of an at-most-once job
	onSend        func(*Job)
}

// newRig returns a rig without cells and with three workers.
func newRig(t *testing.T) *rig {
	t.Helper()
	s, err := config.ParseSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	r := newRigWithoutWorkers(t, Config{Settings: s}, 9)
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsComplete, workers: threeWorkers()})
	return r
}

// newRigWithoutWorkers returns a rig with an empty endpoint list.
func newRigWithoutWorkers(t *testing.T, cfg Config, maxOpen int) *rig {
	t.Helper()
	cfg.Seed, cfg.Clock, cfg.Counters = 1, NewClock(), &counters.Set{}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	r := &rig{Core: c}
	c.setEnvironment(Environment{Workers: r, EndpointWatch: r, MaxOpen: maxOpen})
	return r
}

func threeWorkers() []foxlift.Worker {
	return []foxlift.Worker{{ID: "n1", Kind: -1}, {ID: "n2", Kind: -1}, {ID: "n3", Kind: -1}}
}

// Send implements Workers.
func (r *rig) Send(worker string, j *Job, _ AttemptLimits, report func(Report)) func() {
	r.sent = append(r.sent, report)
	r.sentTo = append(r.sentTo, worker)
	r.lastSentTo = worker
	if j.Class == "ratify" {
		r.atMostOnceIDs = append(r.atMostOnceIDs, j.ID)
	}
	if r.onSend != nil {
		r.onSend(j)
	}
	return func() { r.cancelled++ }
}

// CloseIdle implements Workers.
func (r *rig) CloseIdle(string) {}

// HealthCheck implements Workers.
func (r *rig) HealthCheck(string, func(Report)) {}

// Watch implements EndpointWatch.
func (r *rig) Watch() {}

// A recordingClient records the answers to its job.
type recordingClient struct{ answers []Answer }

// Answer implements Client.
func (c *recordingClient) Answer(a Answer) { c.answers = append(c.answers, a) }

// Disconnected implements Client.
func (c *recordingClient) Disconnected() bool { return false }

// gotOnly reports whether the client has exactly one answer, with verdict v.
func (c *recordingClient) gotOnly(v Verdict) bool {
	return len(c.answers) == 1 && c.answers[0].Verdict == v
}

// wasShed reports whether the client has exactly one answer, with verdict Shed and a retry-after time.
func (c *recordingClient) wasShed() bool { return c.gotOnly(Shed) && c.answers[0].RetryAfter > 0 }

// applyEvent handles one event like the event loop: it applies the event and steps the dispatchers.
func (r *rig) applyEvent(e event) {
	e.apply(r.Core)
	r.dispatch()
}

// settle applies the events that reports and timers have posted, until the inbox is empty.
func (r *rig) settle() {
	for len(r.loop.inbox) > 0 {
		r.applyEvent(<-r.loop.inbox)
	}
}

// expireIDs makes all ids of answered jobs usable again, as after their retention time.
func (r *rig) expireIDs() {
	r.forgetIDs(r.jobs.recent.expire(r.clock.Now() + int64(r.jobs.recent.retention)))
}

// newJob returns a job and its client.
func (r *rig) newJob(id, class, tenant string, remaining time.Duration) (*Job, *recordingClient) {
	client := &recordingClient{}
	return &Job{
		ID: id, Class: class, Tenant: tenant,
		ArrivedAt: r.clock.Now(), Remaining: remaining, Client: client,
	}, client
}

// submit submits a job to a rig without cells.
func (r *rig) submit(id, class, tenant string) *recordingClient {
	j, client := r.newJob(id, class, tenant, 10*time.Second)
	r.applyEvent(jobSubmitted{j})
	return client
}

// complete ends the attempt with index i and applies the resulting events.
func (r *rig) complete(i int, code foxlift.Code) {
	r.sent[i](ended(code))
	r.settle()
}

// ended returns the last report of an attempt.
func ended(code foxlift.Code) Report { return Report{Ended: true, Code: code, Result: []byte("r")} }
