package core

import (
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/vatu-meals/foxlift"
)

// Guards against answered jobs that stay in memory with their bodies: the runtime keeps stopped timers, and what they
// refer to, while they are under a quarter of all timers.
func TestAnsweredJobsAreReleased(t *testing.T) {
	const jobs, otherTimers = 100, 4000
	for range otherTimers {
		timer := time.AfterFunc(time.Hour, func() {})
		t.Cleanup(func() { timer.Stop() })
	}
	r := newRig(t)
	var answered []weak.Pointer[Job]
	for i := range jobs {
		j, client := r.newJob(string(rune('A'+i)), "ratify", "t", 10*time.Second)
		answered = append(answered, weak.Make(j))
		r.applyEvent(jobSubmitted{j})
		r.complete(i, foxlift.Served)
		if !client.gotOnly(Served) {
			t.Fatalf("answers of job %d are %+v, want one with verdict Served", i, client.answers)
		}
	}
	r.sent = nil // the report functions refer to the jobs
	runtime.GC()
	retained := 0
	for _, j := range answered {
		if j.Value() != nil {
			retained++
		}
	}
	if retained > 0 {
		t.Errorf("%d of %d answered jobs are in memory, want 0", retained, jobs)
	}
}
