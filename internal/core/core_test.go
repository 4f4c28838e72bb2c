package core

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

// Whatever happens in whatever order, a job has one answer and leaves nothing behind.
func TestEveryJobGetsOneAnswer(t *testing.T) {
	end := func(i int, code foxlift.Code) func(*rig, *job) {
		return func(r *rig, _ *job) { r.sent[i](ended(code)) }
	}
	disconnect := func(r *rig, j *job) { r.ClientDisconnected(j.Job) }
	for name, test := range map[string]struct {
		class string
		steps []func(*rig, *job)
		want  Verdict
	}{
		"served":       {"ratify", []func(*rig, *job){end(0, foxlift.Served)}, Served},
		"served twice": {"ratify", []func(*rig, *job){end(0, foxlift.Served), end(0, foxlift.Served)}, Served},
		"worker error, then served": {
			"ratify", []func(*rig, *job){end(0, foxlift.WorkerError), end(0, foxlift.Served)}, Failed,
		},
		"disconnected":              {"ratify", []func(*rig, *job){disconnect}, Failed},
		"disconnected, then served": {"ratify", []func(*rig, *job){disconnect, end(0, foxlift.Served)}, Failed},
		"served, then disconnected": {"ratify", []func(*rig, *job){end(0, foxlift.Served), disconnect}, Served},
		"two hedged attempts served": {"reading", []func(*rig, *job){
			func(r *rig, j *job) { r.send(j, "n2", 0) }, end(0, foxlift.Served), end(1, foxlift.Served),
		}, Served},
		"timed out": {"ratify", []func(*rig, *job){func(r *rig, j *job) {
			r.loop.post(attemptReported{j.attempts[0], ended(foxlift.DeadlineExceeded)})
		}}, Failed},
		"dispatcher without an answer": {"ratify", []func(*rig, *job){func(r *rig, j *job) {
			r.loop.post(jobOverdue{j})
		}}, Failed},
		"unreachable three times": {"ratify", []func(*rig, *job){func(r *rig, _ *job) {
			for i := range 3 {
				r.complete(i, foxlift.Unreachable)
			}
		}}, Shed},
		"started, then reset, then served elsewhere": {"reading", []func(*rig, *job){func(r *rig, _ *job) {
			r.sent[0](Report{})
			r.sent[0](Report{Progress: true})
			r.complete(0, foxlift.Reset)
			r.sent[1](ended(foxlift.Served))
		}}, Served},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			client := r.submit("j", test.class, "t")
			j := r.jobs.byNumber[1]
			for _, step := range test.steps {
				step(r, j)
			}
			r.settle()
			if !client.gotOnly(test.want) || test.want == Served && string(client.answers[0].Result) != "r" {
				t.Errorf("answers %+v, want one of verdict %d", client.answers, test.want)
			}
			if len(r.jobs.byNumber) != 0 || len(r.jobs.open) != 0 {
				t.Errorf("%d jobs stay in the table, %d open", len(r.jobs.byNumber), len(r.jobs.open))
			}
			if r.cancelled != len(r.sent) {
				t.Errorf("%d of %d attempts released", r.cancelled, len(r.sent))
			}
		})
	}
}

// A job that is not valid reaches neither the dispatcher nor a worker.
func TestInvalidJobsAreRejected(t *testing.T) {
	r := newRig(t)
	first := r.submit("j", "ratify", "t")
	for reason, client := range map[Reason]*recordingClient{
		"unknown class":  r.submit("a", "other", "t"),
		"unknown tenant": r.submit("b", "ratify", "x"),
		"repeated id":    r.submit("j", "ratify", "t"),
	} {
		if !client.gotOnly(Rejected) || client.answers[0].Reason != reason {
			t.Errorf("%s: %+v", reason, client.answers)
		}
	}
	if len(r.sent) != 1 || len(first.answers) != 0 {
		t.Errorf("%d attempts, %d answers for the first job", len(r.sent), len(first.answers))
	}
	r.submit("k", "ratify", "t")
	if client := r.submit("l", "ratify", "t"); !client.wasShed() {
		t.Errorf("past the limit of open jobs: %+v", client.answers)
	}
	r.complete(0, foxlift.Served)
	client := r.submit("j", "ratify", "t")
	if len(client.answers) != 1 || client.answers[0].Reason != "repeated id" || len(r.sent) != 2 {
		t.Errorf("an id that was answered: %+v, %d attempts", client.answers, len(r.sent))
	}
	r.applyEvent(idExpired{"j"})
	if client := r.submit("j", "ratify", "t"); len(client.answers) != 0 || len(r.sent) != 3 {
		t.Errorf("an id that is free again: %+v", client.answers)
	}
}

// However long a client says that it waits, its class's deadline bounds it.
func TestClassDeadlineBoundsRemaining(t *testing.T) {
	r := newRig(t)
	j, _ := r.newJob("j", "reading", "t", 1<<62)
	r.applyEvent(jobSubmitted{j})
	if d := r.jobs.byNumber[1].deadline - j.ArrivedAt; d != 20e9 {
		t.Errorf("deadline in %d", d)
	}
}

// The clock is comparable with Unix times in the endpoint list, and only advances.
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

// Near the end of a shutdown a job that would hardly be done is shed at once, and one that is accepted has
// its answer before the process may be killed.
func TestShutdownDeadline(t *testing.T) {
	r := newRig(t)
	r.applyEvent(shutdownBegun{r.clock.Now() + int64(600*time.Millisecond)})
	first := r.submit("first", "reading", "t")
	if len(first.answers) != 0 || len(r.sent) != 1 {
		t.Fatalf("%+v, %d attempts; want it sent", first.answers, len(r.sent))
	}
	r.applyEvent(shutdownBegun{r.clock.Now() + int64(400*time.Millisecond)})
	if late := r.submit("late", "reading", "t"); !late.wasShed() || r.counters.Get("jobs.at_end") != 1 {
		t.Errorf("too late: %+v", late.answers)
	}
	for len(first.answers) == 0 {
		r.applyEvent(<-r.loop.inbox)
	}
	if first.answers[0].Verdict != Failed || r.counters.Get("jobs.overdue") != 1 { // long before its deadline
		t.Errorf("at the end: %+v", first.answers)
	}
}

// Stop waits for the event loop's goroutine, may be called again, and prevents a later start.
func TestStopWaits(t *testing.T) {
	r := newRig(t)
	r.loop.start(r.runEventLoop)
	begun, release := make(chan struct{}), make(chan struct{})
	r.loop.post(eventFunc(func(*Core) { close(begun); <-release }))
	<-begun
	stopped := make(chan struct{})
	go func() { r.Stop(); close(stopped) }()
	<-r.loop.stopped
	select {
	case <-stopped:
		t.Error("Stop returned while an event was being applied")
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	<-stopped
	r.Stop()
	r.loop.start(func() { t.Error("it started after Stop") })
	r.Stop()
}
