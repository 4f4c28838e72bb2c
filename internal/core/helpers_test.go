package core

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/counters"
)

const settings = `{"discovery":"automatic","bounds":{"cancel":true,"secondCopies":true,"maxAttempts":3,"maxOpen":2,
 "retryAfter":true,"maxRetryAfter":2000000000},"projects":[{"name":"t","quotaRps":1000}],"familyInfo":{"tellsStart":true},
 "grades":[{"name":"reading","aim":500000000,"deadline":20000000000,"effect":"idempotent"},
 {"name":"ratify","aim":500000000,"deadline":20000000000,"effect":"at_most_once"}]}`

// rig is a core whose nodes and submitters are the test itself. It is not
// started: the test applies events on its own goroutine.
type rig struct {
	*Core
	sent          []func(Report) // one for each claim
	sentTo        []string
	cancelled     int
	watchCalls    int
	atMostOnceIDs []string // ids of claims of at-most-once jobs
	lastWorker    string
	onSend        func(*Job)
}

func (r *rig) Send(node string, j *Job, _ AttemptLimits, report func(Report)) func() {
	r.sent, r.sentTo, r.lastWorker = append(r.sent, report), append(r.sentTo, node), node
	if j.Class == "ratify" {
		r.atMostOnceIDs = append(r.atMostOnceIDs, j.ID)
	}
	if r.onSend != nil {
		r.onSend(j)
	}
	return func() { r.cancelled++ }
}

func (r *rig) CloseIdle(string) {}

func (r *rig) HealthCheck(string, func(Report)) {}

func (r *rig) Watch() { r.watchCalls++ }

type recordingClient struct{ answers []Answer }

func (a *recordingClient) Answer(x Answer) { a.answers = append(a.answers, x) }

func (a *recordingClient) Disconnected() bool { return false }

func newRig(t *testing.T) *rig {
	s, err := config.ParseSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(Config{Settings: s, Seed: 1, Clock: NewClock(), Counters: &counters.Set{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	r := &rig{Core: c}
	c.connect(Environment{Workers: r, EndpointWatch: r, MaxOpen: 9})
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsComplete, workers: []foxlift.Worker{{ID: "n1", Kind: -1}, {ID: "n2", Kind: -1}, {ID: "n3", Kind: -1}}})
	return r
}

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

func (r *rig) submit(id, class, tenant string) *recordingClient {
	a := &recordingClient{}
	r.applyEvent(jobSubmitted{&Job{ID: id, Class: class, Tenant: tenant, ArrivedAt: r.clock.Now(), Remaining: 10 * time.Second, Client: a}})
	return a
}
