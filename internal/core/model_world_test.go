package core

import (
	"fmt"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift"
)

// A world is what the fakes know.
type world struct {
	core         *Core
	startedAt    time.Time
	jobs         []*modelJob
	attempts     []*modelAttempt
	notLiveSince map[string]time.Time // nodes that were told to be not live, since when

	mu         sync.Mutex // the core's goroutine calls the fakes
	violations []string
}

type modelJob struct {
	*Job
	world       *world
	submittedAt time.Duration
	answers     []Answer
	answeredAt  time.Duration // of the first answer
}

type modelAttempt struct {
	job     *modelJob
	worker  string
	sentAt  time.Duration
	ended   bool
	code    foxlift.Code
	ran     bool
	endedAt time.Duration
	report  func(Report)
}

func (w *world) now() time.Duration { return time.Since(w.startedAt) }

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now())+fmt.Sprintf(format, args...))
}

// provesNothingRan is the protocol's table of endings, written again: the model must
// not believe what it judges.
var provesNothingRan = map[foxlift.Code]bool{foxlift.Saturated: true, foxlift.Unreachable: true, foxlift.NotSent: true}

// sameAs reports whether two submissions count as one job: an id is remembered while it
// is in use and for the longest deadline after its answer, no longer.
func (j *modelJob) sameAs(o *modelJob) bool {
	if j.answeredAt > o.answeredAt && len(o.answers) > 0 {
		j, o = o, j
	}
	return j == o || j.ID == o.ID && (len(j.answers) == 0 || o.submittedAt < j.answeredAt+modelMaxDeadline)
}

// mayHaveRun is the truth as the scheduler can know it. It goes by id: what a front
// takes twice must not run twice either.
func (w *world) mayHaveRun(j *modelJob) bool {
	return j.Class == "ratify" && w.firstMayHaveRun(j) != nil
}

// firstMayHaveRun is the first claim of a job that may have run, or may yet; nil: none.
func (w *world) firstMayHaveRun(j *modelJob) *modelAttempt {
	for _, c := range w.attempts {
		if c.job.sameAs(j) && c.job.Class == j.Class && (!c.ended || !provesNothingRan[c.code]) {
			return c
		}
	}
	return nil
}

// Answer implements Client.
func (j *modelJob) Disconnected() bool { return false }

func (j *modelJob) Answer(a Answer) {
	w := j.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(j.answers) == 0 {
		j.answeredAt = w.now()
	}
	j.answers = append(j.answers, a)
	if a.Verdict == Shed && j.Class == "ratify" && w.mayHaveRun(j) {
		w.violate("%s is told that another try is harmless, and may have run", j.ID)
	}
	if a.Verdict == Shed && a.RetryAfter > 2*time.Second {
		w.violate("%s is told to wait %v", j.ID, a.RetryAfter)
	}
}

const sealWindow = 2 * time.Second

// Send implements Nodes.
func (w *world) Send(node string, job *Job, limits AttemptLimits, report func(Report)) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := job.Client.(*modelJob)
	sent := 0
	for _, c := range w.attempts {
		if c.job == j {
			sent++
		}
	}
	if sent >= modelMaxAttempts {
		w.violate("%s is sent for the %dth time", j.ID, sent+1)
	}
	if j.Class == "ratify" && w.mayHaveRun(j) {
		w.violate("%s is sent again, and may have run", j.ID)
	}
	if len(j.answers) > 0 {
		w.violate("%s is sent after its answer", j.ID)
	}
	if since, ok := w.notLiveSince[node]; ok && time.Since(since) > drainGrace {
		w.violate("%s is sent to %s, which drains for %v", j.ID, node, time.Since(since))
	}
	if first := w.firstMayHaveRun(j); j.Class == "seal" && first != nil {
		if zone := func(node string) int { return int(node[1]) % 2 }; zone(node) != zone(first.worker) {
			w.violate("%s is sent to %s, and may have run on %s in the other zone", j.ID, node, first.worker)
		}
		if age := w.now() - first.sentAt; age > sealWindow || limits.WriteWithin <= 0 || age+limits.WriteWithin > sealWindow+time.Millisecond {
			w.violate("%s is sent within %v, and may have run %v ago", j.ID, limits.WriteWithin, age)
		}
	}
	if limits.Remaining <= 0 {
		w.violate("%s is sent when its time is over", j.ID)
	}
	c := &modelAttempt{job: j, worker: node, sentAt: w.now(), report: report}
	w.attempts = append(w.attempts, c)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		c.stop(foxlift.Cancelled, true)
	}
}

// stop notes how a claim really ended.
func (c *modelAttempt) stop(code foxlift.Code, ran bool) {
	if !c.ended {
		c.ended, c.code, c.ran, c.endedAt = true, code, ran && !provesNothingRan[code], c.job.world.now()
	}
}

func (w *world) CloseIdle(string) {}

func (w *world) HealthCheck(_ string, report func(Report)) {
	report(Report{Ended: true, Code: foxlift.Served})
}

func (w *world) Watch() {}
