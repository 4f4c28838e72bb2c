package core

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

// In any order of reports, disconnections and timeouts, a job must get exactly one answer, all its attempts must be
// released, and the job table must be empty at the end.
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
				t.Errorf("answers are %+v, want one with verdict %d, and with result r if served", client.answers, test.want)
			}
			if len(r.jobs.byNumber) != 0 || len(r.jobs.open) != 0 {
				t.Errorf("the job table has %d jobs, %d of them open, want none", len(r.jobs.byNumber), len(r.jobs.open))
			}
			if r.cancelled != len(r.sent) {
				t.Errorf("cancel was called for %d attempts, want %d", r.cancelled, len(r.sent))
			}
		})
	}
}

// An invalid job, or one with an id that is in use or was answered recently, must be rejected before it reaches the
// dispatcher or a worker.
func TestInvalidJobsAreRejected(t *testing.T) {
	r := newRig(t)
	first := r.submit("j", "ratify", "t")
	for reason, client := range map[Reason]*recordingClient{
		"unknown class":  r.submit("a", "other", "t"),
		"unknown tenant": r.submit("b", "ratify", "x"),
		"repeated id":    r.submit("j", "ratify", "t"),
	} {
		if !client.gotOnly(Rejected) || client.answers[0].Reason != reason {
			t.Errorf("answers are %+v, want one with verdict Rejected and reason %q", client.answers, reason)
		}
	}
	if len(r.sent) != 1 || len(first.answers) != 0 {
		t.Errorf("%d attempts and %d answers for the first job, want 1 and 0", len(r.sent), len(first.answers))
	}
	r.submit("k", "ratify", "t")
	if client := r.submit("l", "ratify", "t"); !client.wasShed() {
		t.Errorf("answers beyond the limit of open jobs are %+v, want one Shed with RetryAfter", client.answers)
	}
	r.complete(0, foxlift.Served)
	client := r.submit("j", "ratify", "t")
	if len(client.answers) != 1 || client.answers[0].Reason != "repeated id" || len(r.sent) != 2 {
		t.Errorf("answers to an answered id are %+v with %d attempts, want one with reason %q with 2 attempts",
			client.answers, len(r.sent), "repeated id")
	}
	r.expireIDs()
	if client := r.submit("j", "ratify", "t"); len(client.answers) != 0 || len(r.sent) != 3 {
		t.Errorf("answers to an expired id are %+v with %d attempts, want none with 3", client.answers, len(r.sent))
	}
}

// The deadline of the class must bound the time that a client says it waits.
func TestClassDeadlineBoundsRemaining(t *testing.T) {
	r := newRig(t)
	j, _ := r.newJob("j", "reading", "t", 1<<62)
	r.applyEvent(jobSubmitted{j})
	if d := r.jobs.byNumber[1].deadline - j.ArrivedAt; d != 20e9 {
		t.Errorf("deadline is %d ns after the arrival, want %d", d, int64(20e9))
	}
}

// The clock must be comparable with the Unix times in the endpoint list and must not go back.
func TestClock(t *testing.T) {
	c := NewClock()
	a := c.Now()
	if d := time.Now().UnixNano() - a; d < -int64(time.Minute) || d > int64(time.Minute) {
		t.Errorf("Now() differs from the wall clock by %d ns, want at most %d", d, int64(time.Minute))
	}
	if b := c.Now(); b < a {
		t.Errorf("Now() = %d after %d, want no earlier time", b, a)
	}
}

// Near the end of a shutdown, a job whose latency objective exceeds the remaining time must be shed at once, and an
// accepted job must be answered by the shutdown deadline, before the process may be killed.
func TestShutdownDeadline(t *testing.T) {
	r := newRig(t)
	r.applyEvent(shutdownBegun{r.clock.Now() + int64(600*time.Millisecond)})
	first := r.submit("first", "reading", "t")
	if len(first.answers) != 0 || len(r.sent) != 1 {
		t.Fatalf("answers are %+v with %d attempts, want none with 1", first.answers, len(r.sent))
	}
	r.applyEvent(shutdownBegun{r.clock.Now() + int64(400*time.Millisecond)})
	if late := r.submit("late", "reading", "t"); !late.wasShed() || r.counters.Get("jobs.at_end") != 1 {
		t.Errorf("answers to a late job are %+v, jobs.at_end = %d, want one Shed with RetryAfter and 1",
			late.answers, r.counters.Get("jobs.at_end"))
	}
	for len(first.answers) == 0 {
		r.applyEvent(<-r.loop.inbox)
	}
	if first.answers[0].Verdict != Failed || r.counters.Get("jobs.overdue") != 1 { // long before the job's deadline
		t.Errorf("answers at the shutdown deadline are %+v, jobs.overdue = %d, want verdict Failed and 1",
			first.answers, r.counters.Get("jobs.overdue"))
	}
}

// Stop must wait for the event loop's goroutine and prevent a later start, and may be called again.
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
		t.Error("Stop() returned while an event was being applied, want it to wait")
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	<-stopped
	r.Stop()
	r.loop.start(func() { t.Error("start() ran the function after Stop()") })
	r.Stop()
}
