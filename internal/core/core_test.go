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
	sent     []func(Report) // one for each claim
	nodes    []string
	withdrew int
	watched  int
	ratify   []string // ids of claims of at-most-once jobs
	lastNode string
	onSend   func(*Job)
}

func (r *rig) Send(node string, j *Job, _ AttemptLimits, report func(Report)) func() {
	r.sent, r.nodes, r.lastNode = append(r.sent, report), append(r.nodes, node), node
	if j.Class == "ratify" {
		r.ratify = append(r.ratify, j.ID)
	}
	if r.onSend != nil {
		r.onSend(j)
	}
	return func() { r.withdrew++ }
}
func (r *rig) CloseIdle(string)                 {}
func (r *rig) HealthCheck(string, func(Report)) {}
func (r *rig) Watch()                           { r.watched++ }

type asked struct{ got []Answer }

func (a *asked) Answer(x Answer)    { a.got = append(a.got, x) }
func (a *asked) Disconnected() bool { return false }

func newRig(t *testing.T) *rig {
	s, err := config.ParseSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(s, nil, 1, NewClock(), &counters.Set{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	r := &rig{Core: c}
	c.Connect(r, r, 9)
	r.do(machinesTold{kind: foxlift.EndpointsComplete, entries: []foxlift.Worker{{ID: "n1", Kind: -1}, {ID: "n2", Kind: -1}, {ID: "n3", Kind: -1}}})
	return r
}

func (r *rig) do(e event) {
	e.apply(r.Core)
	r.route()
}

// settle applies what reports and timers have posted.
func (r *rig) settle() {
	for len(r.inbox) > 0 {
		r.do(<-r.inbox)
	}
}

func (r *rig) take(id, class, tenant string) *asked {
	a := &asked{}
	r.do(jobArrived{&Job{ID: id, Class: class, Tenant: tenant, ArrivedAt: r.clock.Now(), Remaining: 10 * time.Second, Client: a}})
	return a
}

// Whatever comes in whatever order, a job has one answer and leaves no trace.
func TestOneAnswer(t *testing.T) {
	over := func(c foxlift.Code) Report { return Report{Ended: true, Code: c, Result: []byte("r")} }
	for name, c := range map[string]struct {
		class string
		do    func(r *rig, j *Job)
		want  Verdict
	}{
		"served":             {"ratify", func(r *rig, _ *Job) { r.sent[0](over(foxlift.Served)) }, Served},
		"served twice":       {"ratify", func(r *rig, _ *Job) { r.sent[0](over(foxlift.Served)); r.sent[0](over(foxlift.Served)) }, Served},
		"erred, then served": {"ratify", func(r *rig, _ *Job) { r.sent[0](over(foxlift.WorkerError)); r.sent[0](over(foxlift.Served)) }, Failed},
		"left":               {"ratify", func(r *rig, j *Job) { r.ClientDisconnected(j) }, Failed},
		"left, then served":  {"ratify", func(r *rig, j *Job) { r.ClientDisconnected(j); r.sent[0](over(foxlift.Served)) }, Failed},
		"served, then left":  {"ratify", func(r *rig, j *Job) { r.sent[0](over(foxlift.Served)); r.ClientDisconnected(j) }, Served},
		"two copies served": {"reading", func(r *rig, _ *Job) {
			r.send(r.jobs[1], "n2", 0)
			r.sent[0](over(foxlift.Served))
			r.sent[1](over(foxlift.Served))
		}, Served},
		"timed out":           {"ratify", func(r *rig, _ *Job) { r.post(claimReported{r.jobs[1].claims[0], over(foxlift.DeadlineExceeded)}) }, Failed},
		"module says nothing": {"ratify", func(r *rig, _ *Job) { r.post(jobOverdue{r.jobs[1]}) }, Failed},
		"turned away thrice": {"ratify", func(r *rig, _ *Job) {
			for i := range 3 {
				r.sent[i](over(foxlift.Unreachable))
				r.settle()
			}
		}, Shed},
		"started, then reset, then served elsewhere": {"reading", func(r *rig, _ *Job) {
			r.sent[0](Report{})
			r.sent[0](Report{Progress: true})
			r.sent[0](over(foxlift.Reset))
			r.settle()
			r.sent[1](over(foxlift.Served))
		}, Served},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.take("j", c.class, "t")
			c.do(r, r.jobs[1].Job)
			r.settle()
			if len(a.got) != 1 || a.got[0].Verdict != c.want || c.want == Served && string(a.got[0].Result) != "r" {
				t.Errorf("answers %+v, want one of verdict %d", a.got, c.want)
			}
			if len(r.jobs) != 0 || len(r.open) != 0 {
				t.Errorf("%d jobs stay in the table, %d open", len(r.jobs), len(r.open))
			}
			if r.withdrew != len(r.sent) {
				t.Errorf("%d of %d claims released", r.withdrew, len(r.sent))
			}
		})
	}
}

// What may not be taken never reaches the module or a node.
func TestTakeInRejects(t *testing.T) {
	r := newRig(t)
	first := r.take("j", "ratify", "t")
	for reason, a := range map[string]*asked{
		"unknown class": r.take("a", "other", "t"), "unknown tenant": r.take("b", "ratify", "x"),
		"repeated id": r.take("j", "ratify", "t"),
	} {
		if len(a.got) != 1 || a.got[0].Verdict != Rejected || a.got[0].Reason != reason {
			t.Errorf("%s: %+v", reason, a.got)
		}
	}
	if len(r.sent) != 1 || len(first.got) != 0 {
		t.Errorf("%d claims, %d answers for the first job", len(r.sent), len(first.got))
	}
	r.take("k", "ratify", "t")
	if a := r.take("l", "ratify", "t"); len(a.got) != 1 || a.got[0].Verdict != Shed || a.got[0].RetryAfter == 0 {
		t.Errorf("past the limit of open jobs: %+v", a.got)
	}
	r.sent[0](Report{Ended: true, Code: foxlift.Served})
	r.settle()
	if a := r.take("j", "ratify", "t"); len(a.got) != 1 || a.got[0].Reason != "repeated id" || len(r.sent) != 2 {
		t.Errorf("an id that was answered: %+v, %d claims", a.got, len(r.sent))
	}
	r.do(idForgotten{"j"})
	if a := r.take("j", "ratify", "t"); len(a.got) != 0 || len(r.sent) != 3 {
		t.Errorf("an id that is free again: %+v", a.got)
	}
}

// However long a submitter says it waits, its class's deadline bounds it.
func TestRemainingIsBounded(t *testing.T) {
	r := newRig(t)
	now := r.clock.Now()
	r.do(jobArrived{&Job{ID: "j", Class: "reading", Tenant: "t", ArrivedAt: now, Remaining: 1 << 62, Client: &asked{}}})
	if d := r.jobs[1].deadline - now; d != 20e9 {
		t.Errorf("deadline in %d", d)
	}
}

// The clock is comparable with Unix times in the list, and only advances.
func TestClock(t *testing.T) {
	c := NewClock()
	a := c.Now()
	if d := time.Now().UnixNano() - a; d < -int64(time.Minute) || d > int64(time.Minute) {
		t.Errorf("off by %d ns", d)
	}
	if b := c.Now(); b < a {
		t.Error("it went back")
	}
}

// Near the end a job that would hardly be done is refused at once, and one that is
// taken has its answer before a kill could lose it.
func TestNearTheEnd(t *testing.T) {
	r := newRig(t)
	r.do(ending{r.clock.Now() + int64(600*time.Millisecond)})
	first := r.take("first", "reading", "t")
	if len(first.got) != 0 || len(r.sent) != 1 {
		t.Fatalf("%+v, %d claims; want it sent", first.got, len(r.sent))
	}
	r.do(ending{r.clock.Now() + int64(400*time.Millisecond)})
	late := r.take("late", "reading", "t")
	if len(late.got) != 1 || late.got[0].Verdict != Shed || late.got[0].RetryAfter == 0 || r.counters.Get("jobs.at_end") != 1 {
		t.Errorf("too late: %+v", late.got)
	}
	for len(first.got) == 0 {
		r.do(<-r.inbox)
	}
	if first.got[0].Verdict != Failed || r.counters.Get("jobs.overdue") != 1 { // long before its deadline
		t.Errorf("at the end: %+v", first.got)
	}
}
