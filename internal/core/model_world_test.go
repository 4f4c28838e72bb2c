package core

import (
	"fmt"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift"
)

// A world is what the fakes of workers, discovery and clients know.
type world struct {
	core         *Core
	startedAt    time.Time
	jobs         []*modelJob
	attempts     []*modelAttempt
	notLiveSince map[string]time.Time // workers that the list had as not live, since when

	mu         sync.Mutex // the core's goroutine calls the fakes
	violations []string
}

// A modelJob is a job and its client.
type modelJob struct {
	*Job
	world       *world
	submittedAt time.Duration
	answers     []Answer
	answeredAt  time.Duration // of the first answer
}

// A modelAttempt is an attempt as its worker knows it.
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

// violate records that something that must hold does not.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now())+fmt.Sprintf(format, args...))
}

// provesNothingRan is the protocol's table of outcomes, written again: the model must not rely on what it
// checks.
var provesNothingRan = map[foxlift.Code]bool{foxlift.Saturated: true, foxlift.Unreachable: true, foxlift.NotSent: true}

// sameAs reports whether two submissions count as one job: an id is remembered while it is in use and for
// the longest deadline after its answer, no longer.
func (j *modelJob) sameJobAs(other *modelJob) bool {
	if j.answeredAt > other.answeredAt && len(other.answers) > 0 {
		j, other = other, j
	}
	return j == other || j.ID == other.ID && (len(j.answers) == 0 || other.submittedAt < j.answeredAt+modelMaxDeadline)
}

// mayHaveRun is the truth as the scheduler can know it. It goes by id: what is submitted twice must not
// run twice either.
func (w *world) mayHaveRun(j *modelJob) bool {
	return j.Class == "ratify" && w.firstPossibleRun(j) != nil
}

// firstMayHaveRun is the first attempt of a job that may have run, or may yet; nil: none.
func (w *world) firstPossibleRun(j *modelJob) *modelAttempt {
	for _, a := range w.attempts {
		if a.job.sameJobAs(j) && a.job.Class == j.Class && (!a.ended || !provesNothingRan[a.code]) {
			return a
		}
	}
	return nil
}

// Disconnected implements Client.
func (j *modelJob) Disconnected() bool { return false }

// Answer implements Client.
func (j *modelJob) Answer(a Answer) {
	w := j.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(j.answers) == 0 {
		j.answeredAt = w.now()
	}
	j.answers = append(j.answers, a)
	if a.Verdict == Shed && j.Class == "ratify" && w.mayHaveRun(j) {
		w.recordViolation("%s is told that a retry is harmless, and may have run", j.ID)
	}
	if a.Verdict == Shed && a.RetryAfter > 2*time.Second {
		w.recordViolation("%s is told to wait %v", j.ID, a.RetryAfter)
	}
}

const sealDedupWindow = 2 * time.Second // keyTtl in modelSettings

// Send implements Workers.
func (w *world) Send(worker string, job *Job, limits AttemptLimits, report func(Report)) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := job.Client.(*modelJob)
	w.checkSend(j, worker, limits)
	a := &modelAttempt{job: j, worker: worker, sentAt: w.now(), report: report}
	w.attempts = append(w.attempts, a)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		a.end(foxlift.Cancelled, true)
	}
}

// checkSend checks that a job may be sent to a worker.
func (w *world) checkSend(j *modelJob, worker string, limits AttemptLimits) {
	attempts := 0
	for _, a := range w.attempts {
		if a.job == j {
			attempts++
		}
	}
	if attempts >= modelMaxAttempts {
		w.recordViolation("%s is sent for the %dth time", j.ID, attempts+1)
	}
	if j.Class == "ratify" && w.mayHaveRun(j) {
		w.recordViolation("%s is sent again, and may have run", j.ID)
	}
	if len(j.answers) > 0 {
		w.recordViolation("%s is sent after its answer", j.ID)
	}
	if since, ok := w.notLiveSince[worker]; ok && time.Since(since) > drainGrace {
		w.recordViolation("%s is sent to %s, which has been draining for %v", j.ID, worker, time.Since(since))
	}
	if first := w.firstPossibleRun(j); j.Class == "seal" && first != nil {
		w.checkRepeat(j, worker, first, limits)
	}
	if limits.Remaining <= 0 {
		w.recordViolation("%s is sent when its time is over", j.ID)
	}
}

// checkRepeat checks that a worker drops a repeat of a deduplicated job: it is in the group of the first
// worker that may have run it, and the window has not ended.
func (w *world) checkRepeat(j *modelJob, worker string, first *modelAttempt, limits AttemptLimits) {
	zone := func(worker string) int { return int(worker[1]) % 2 }
	if zone(worker) != zone(first.worker) {
		w.recordViolation("%s is sent to %s, and may have run on %s in the other zone", j.ID, worker, first.worker)
	}
	age := w.now() - first.sentAt
	if age > sealDedupWindow || limits.WriteWithin <= 0 || age+limits.WriteWithin > sealDedupWindow+time.Millisecond {
		w.recordViolation("%s is sent within %v, and may have run %v ago", j.ID, limits.WriteWithin, age)
	}
}

// stop records how an attempt really ended.
func (a *modelAttempt) end(code foxlift.Code, ran bool) {
	if !a.ended {
		a.ended, a.code, a.ran, a.endedAt = true, code, ran && !provesNothingRan[code], a.job.world.now()
	}
}

// CloseIdle implements Workers.
func (w *world) CloseIdle(string) {}

// HealthCheck implements Workers.
func (w *world) HealthCheck(_ string, report func(Report)) {
	report(Report{Ended: true, Code: foxlift.Served})
}

// Watch implements EndpointWatch.
func (w *world) Watch() {}
