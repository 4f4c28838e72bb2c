package core

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

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
			r.send(r.jobs.byNumber[1], "n2", 0)
			r.sent[0](over(foxlift.Served))
			r.sent[1](over(foxlift.Served))
		}, Served},
		"timed out": {"ratify", func(r *rig, _ *Job) {
			r.loop.post(attemptReported{r.jobs.byNumber[1].attempts[0], over(foxlift.DeadlineExceeded)})
		}, Failed},
		"module says nothing": {"ratify", func(r *rig, _ *Job) { r.loop.post(jobOverdue{r.jobs.byNumber[1]}) }, Failed},
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
			a := r.submit("j", c.class, "t")
			c.do(r, r.jobs.byNumber[1].Job)
			r.settle()
			if len(a.answers) != 1 || a.answers[0].Verdict != c.want || c.want == Served && string(a.answers[0].Result) != "r" {
				t.Errorf("answers %+v, want one of verdict %d", a.answers, c.want)
			}
			if len(r.jobs.byNumber) != 0 || len(r.jobs.open) != 0 {
				t.Errorf("%d jobs stay in the table, %d open", len(r.jobs.byNumber), len(r.jobs.open))
			}
			if r.cancelled != len(r.sent) {
				t.Errorf("%d of %d claims released", r.cancelled, len(r.sent))
			}
		})
	}
}

// What may not be taken never reaches the module or a node.
func TestInvalidJobsAreRejected(t *testing.T) {
	r := newRig(t)
	first := r.submit("j", "ratify", "t")
	for reason, a := range map[Reason]*recordingClient{
		"unknown class": r.submit("a", "other", "t"), "unknown tenant": r.submit("b", "ratify", "x"),
		"repeated id": r.submit("j", "ratify", "t"),
	} {
		if len(a.answers) != 1 || a.answers[0].Verdict != Rejected || a.answers[0].Reason != reason {
			t.Errorf("%s: %+v", reason, a.answers)
		}
	}
	if len(r.sent) != 1 || len(first.answers) != 0 {
		t.Errorf("%d claims, %d answers for the first job", len(r.sent), len(first.answers))
	}
	r.submit("k", "ratify", "t")
	if a := r.submit("l", "ratify", "t"); len(a.answers) != 1 || a.answers[0].Verdict != Shed || a.answers[0].RetryAfter == 0 {
		t.Errorf("past the limit of open jobs: %+v", a.answers)
	}
	r.sent[0](Report{Ended: true, Code: foxlift.Served})
	r.settle()
	if a := r.submit("j", "ratify", "t"); len(a.answers) != 1 || a.answers[0].Reason != "repeated id" || len(r.sent) != 2 {
		t.Errorf("an id that was answered: %+v, %d claims", a.answers, len(r.sent))
	}
	r.applyEvent(idExpired{"j"})
	if a := r.submit("j", "ratify", "t"); len(a.answers) != 0 || len(r.sent) != 3 {
		t.Errorf("an id that is free again: %+v", a.answers)
	}
}

// However long a submitter says it waits, its class's deadline bounds it.
func TestRemainingIsBounded(t *testing.T) {
	r := newRig(t)
	now := r.clock.Now()
	r.applyEvent(jobSubmitted{&Job{ID: "j", Class: "reading", Tenant: "t", ArrivedAt: now, Remaining: 1 << 62, Client: &recordingClient{}}})
	if d := r.jobs.byNumber[1].deadline - now; d != 20e9 {
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
func TestShutdownDeadline(t *testing.T) {
	r := newRig(t)
	r.applyEvent(shutdownBegun{r.clock.Now() + int64(600*time.Millisecond)})
	first := r.submit("first", "reading", "t")
	if len(first.answers) != 0 || len(r.sent) != 1 {
		t.Fatalf("%+v, %d claims; want it sent", first.answers, len(r.sent))
	}
	r.applyEvent(shutdownBegun{r.clock.Now() + int64(400*time.Millisecond)})
	late := r.submit("late", "reading", "t")
	if len(late.answers) != 1 || late.answers[0].Verdict != Shed || late.answers[0].RetryAfter == 0 || r.counters.Get("jobs.at_end") != 1 {
		t.Errorf("too late: %+v", late.answers)
	}
	for len(first.answers) == 0 {
		r.applyEvent(<-r.loop.inbox)
	}
	if first.answers[0].Verdict != Failed || r.counters.Get("jobs.overdue") != 1 { // long before its deadline
		t.Errorf("at the end: %+v", first.answers)
	}
}
