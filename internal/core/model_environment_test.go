package core

import (
	"fmt"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift"
)

// A modelEnvironment fakes the workers, the discovery and the clients of a core, and records the jobs, the attempts
// and the violations of invariants.
type modelEnvironment struct {
	core         *Core
	startedAt    time.Time
	jobs         []*modelJob
	attempts     []*modelAttempt
	notLiveSince map[string]time.Time // since when the endpoint list has had a worker as not live, by worker

	mu         sync.Mutex // guards the fields that the event loop's goroutine also uses
	violations []string
}

// A modelJob is a job and its client.
type modelJob struct {
	*Job
	env         *modelEnvironment
	submittedAt time.Duration
	answers     []Answer
	answeredAt  time.Duration // of the first answer
}

// A modelAttempt is an attempt at the fake worker.
type modelAttempt struct {
	job     *modelJob
	worker  string
	sentAt  time.Duration
	ended   bool
	code    foxlift.Code // outcome, if ended
	ran     bool         // whether the job really ran
	endedAt time.Duration
	report  func(Report)
}

func (env *modelEnvironment) now() time.Duration { return time.Since(env.startedAt) }

// recordViolation records that an invariant does not hold, with the time since the start.
func (env *modelEnvironment) recordViolation(format string, args ...any) {
	env.violations = append(env.violations, fmt.Sprintf("%v: ", env.now())+fmt.Sprintf(format, args...))
}

// provesNothingRan holds the outcomes that prove that a job did not run. It repeats foxlift.Code.NeverRan, because
// the model must not depend on the code under test.
var provesNothingRan = map[foxlift.Code]bool{foxlift.Saturated: true, foxlift.Unreachable: true, foxlift.NotSent: true}

// sameJobAs reports whether two submissions count as one job: they have the same id, and the later one arrives
// while the id is in use or within the longest deadline after its answer.
func (j *modelJob) sameJobAs(other *modelJob) bool {
	if j.answeredAt > other.answeredAt && len(other.answers) > 0 {
		j, other = other, j
	}
	return j == other || j.ID == other.ID && (len(j.answers) == 0 || other.submittedAt < j.answeredAt+modelMaxDeadline)
}

// mayHaveRun reports whether an at-most-once job may have run, judged by the outcomes that the scheduler gets. It
// includes other submissions with the same id, which must not run twice either.
func (env *modelEnvironment) mayHaveRun(j *modelJob) bool {
	return j.Class == "ratify" && env.firstPossibleRun(j) != nil
}

// firstPossibleRun returns the first attempt of a job that may have run or may still run; nil if none.
func (env *modelEnvironment) firstPossibleRun(j *modelJob) *modelAttempt {
	for _, a := range env.attempts {
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
	env := j.env
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(j.answers) == 0 {
		j.answeredAt = env.now()
	}
	j.answers = append(j.answers, a)
	if a.Verdict == Shed && j.Class == "ratify" && env.mayHaveRun(j) {
		env.recordViolation("job %s is shed, so that a retry counts as safe, but may have run", j.ID)
	}
	if a.Verdict == Shed && a.RetryAfter > 2*time.Second {
		env.recordViolation("job %s is shed with RetryAfter %v, want at most 2s", j.ID, a.RetryAfter)
	}
}

const sealDedupWindow = 2 * time.Second // keyTtl in modelSettings

// Send implements Workers.
func (env *modelEnvironment) Send(worker string, job *Job, limits AttemptLimits, report func(Report)) func() {
	env.mu.Lock()
	defer env.mu.Unlock()
	j := job.Client.(*modelJob)
	env.checkSend(j, worker, limits)
	a := &modelAttempt{job: j, worker: worker, sentAt: env.now(), report: report}
	env.attempts = append(env.attempts, a)
	return func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		a.end(foxlift.Cancelled, true)
	}
}

// checkSend checks that the scheduler may send a job to a worker.
func (env *modelEnvironment) checkSend(j *modelJob, worker string, limits AttemptLimits) {
	attempts := 0
	for _, a := range env.attempts {
		if a.job == j {
			attempts++
		}
	}
	if attempts >= modelMaxAttempts {
		env.recordViolation("job %s has %d attempts, want at most %d", j.ID, attempts+1, modelMaxAttempts)
	}
	if j.Class == "ratify" && env.mayHaveRun(j) {
		env.recordViolation("job %s of an at-most-once class is sent again, but may have run", j.ID)
	}
	if len(j.answers) > 0 {
		env.recordViolation("job %s is sent after its answer", j.ID)
	}
	if since, ok := env.notLiveSince[worker]; ok && time.Since(since) > drainGrace {
		env.recordViolation("job %s is sent to worker %s, which has not been live for %v, want at most %v",
			j.ID, worker, time.Since(since), drainGrace)
	}
	if first := env.firstPossibleRun(j); j.Class == "seal" && first != nil {
		env.checkRepeat(j, worker, first, limits)
	}
	if limits.Remaining <= 0 {
		env.recordViolation("job %s is sent with remaining time %v, want more than 0", j.ID, limits.Remaining)
	}
}

// checkRepeat checks that the worker drops a repeat of a deduplicated job: it is in the zone of the first worker
// that may have run the job, and the window in which repeats are dropped has not ended.
func (env *modelEnvironment) checkRepeat(j *modelJob, worker string, first *modelAttempt, limits AttemptLimits) {
	zone := func(worker string) int { return int(worker[1]) % 2 }
	if zone(worker) != zone(first.worker) {
		env.recordViolation("job %s is sent to worker %s, but may have run on worker %s of the other zone",
			j.ID, worker, first.worker)
	}
	age := env.now() - first.sentAt
	if age > sealDedupWindow || limits.WriteWithin <= 0 || age+limits.WriteWithin > sealDedupWindow+time.Millisecond {
		env.recordViolation("job %s is sent %v after it may have run, with WriteWithin %v, want both together within %v",
			j.ID, age, limits.WriteWithin, sealDedupWindow)
	}
}

// end records the outcome of an attempt and whether the job really ran. Further calls do nothing.
func (a *modelAttempt) end(code foxlift.Code, ran bool) {
	if !a.ended {
		a.ended, a.code, a.ran, a.endedAt = true, code, ran && !provesNothingRan[code], a.job.env.now()
	}
}

// CloseIdle implements Workers.
func (env *modelEnvironment) CloseIdle(string) {}

// HealthCheck implements Workers.
func (env *modelEnvironment) HealthCheck(_ string, report func(Report)) {
	report(Report{Ended: true, Code: foxlift.Served})
}

// Watch implements EndpointWatch.
func (env *modelEnvironment) Watch() {}
