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

// A rig is a core whose workers, discovery and clients are the test itself. Its event loop is not started:
// the test applies events on its own goroutine.
type rig struct {
	*Core
	sent          []func(Report) // the report function of each attempt
	sentTo        []string       // its worker
	lastSentTo    string
	cancelled     int
	atMostOnceIDs []string // ids of the jobs of attempts that must not run twice
	onSend        func(*Job)
}

// newRig returns a rig without cells that knows three workers.
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

// newRigOf returns a rig that knows no workers.
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

// A recordingClient keeps the answers of its job.
type recordingClient struct{ answers []Answer }

// Answer implements Client.
func (c *recordingClient) Answer(a Answer) { c.answers = append(c.answers, a) }

// Disconnected implements Client.
func (c *recordingClient) Disconnected() bool { return false }

// gotOnly reports whether the client has one answer, of this verdict.
func (c *recordingClient) gotOnly(v Verdict) bool {
	return len(c.answers) == 1 && c.answers[0].Verdict == v
}

// wasShed reports whether the client has one answer, which sheds its job with advice.
func (c *recordingClient) wasShed() bool { return c.gotOnly(Shed) && c.answers[0].RetryAfter > 0 }

// applyEvent does what the event loop does with one event.
func (r *rig) applyEvent(e event) {
	e.apply(r.Core)
	r.dispatch()
}

// settle applies what reports and timers have posted.
func (r *rig) settle() {
	for len(r.loop.inbox) > 0 {
		r.applyEvent(<-r.loop.inbox)
	}
}

// newJob returns a job and its client.
func (r *rig) newJob(id, class, tenant string, remaining time.Duration) (*Job, *recordingClient) {
	client := &recordingClient{}
	return &Job{
		ID: id, Class: class, Tenant: tenant,
		ArrivedAt: r.clock.Now(), Remaining: remaining, Client: client,
	}, client
}

// submit sends a job, where there are no cells.
func (r *rig) submit(id, class, tenant string) *recordingClient {
	j, client := r.newJob(id, class, tenant, 10*time.Second)
	r.applyEvent(jobSubmitted{j})
	return client
}

// complete lets the attempt with this index end, and applies what comes of it.
func (r *rig) complete(i int, code foxlift.Code) {
	r.sent[i](ended(code))
	r.settle()
}

// ended is the last report of an attempt.
func ended(code foxlift.Code) Report { return Report{Ended: true, Code: code, Result: []byte("r")} }
