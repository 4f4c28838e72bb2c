package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// A registerOp is an operation in the history of a job: a run on a worker, or the answer to its client.
type registerOp struct {
	run     bool
	verdict Verdict
}

// A register is the state of an at-most-once job: a job that has run must not run again, a job that was shed must
// not run later, and a served job must have run.
type register struct{ hasRun, shed bool }

var atMostOnceModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		r, op := state.(register), input.(registerOp)
		switch {
		case op.run:
			return !r.hasRun && !r.shed, register{true, r.shed}
		case op.verdict == Served:
			return r.hasRun, r
		case op.verdict == Shed:
			return !r.hasRun, register{r.hasRun, true}
		}
		return true, r
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearizable reports whether the runs of a job and its answer have an order that the register allows.
func (env *modelEnvironment) linearizable(j *modelJob) bool {
	var ops []porcupine.Operation
	if len(j.answers) > 0 && j.answers[0].Verdict != Rejected {
		ops = append(ops, porcupine.Operation{
			Input: registerOp{verdict: j.answers[0].Verdict},
			Call:  int64(j.submittedAt), Return: int64(j.answeredAt),
		})
	}
	for i, a := range env.attempts {
		// The id of a job that was shed may be submitted again, and the later job may run.
		isLaterJob := a.job != j && len(j.answers) > 0 && j.answers[0].Verdict == Shed && a.sentAt >= j.answeredAt
		if a.job.sameJobAs(j) && a.job.Class == "ratify" && a.ran && !isLaterJob {
			ops = append(ops, porcupine.Operation{
				ClientId: i + 1, Input: registerOp{run: true},
				Call: int64(a.sentAt), Return: int64(a.endedAt),
			})
		}
	}
	return porcupine.CheckOperations(atMostOnceModel, ops)
}

// describe returns the history of a job as text.
func (env *modelEnvironment) describe(j *modelJob) string {
	var s strings.Builder
	fmt.Fprintf(&s, "submitted at %v, %+v at %v", j.submittedAt, j.answers, j.answeredAt)
	for _, a := range env.attempts {
		if a.job == j {
			fmt.Fprintf(&s, "; on %s from %v to %v: %d, ran %v", a.worker, a.sentAt, a.endedAt, a.code, a.ran)
		}
	}
	return s.String()
}

// The register model must accept valid histories and reject invalid ones, or the model test would not detect that
// an at-most-once job ran twice.
func TestRegisterModel(t *testing.T) {
	env := &modelEnvironment{startedAt: time.Now()}
	addRun := func(j *modelJob, from, to time.Duration) {
		env.attempts = append(env.attempts, &modelAttempt{job: j, sentAt: from, endedAt: to, ended: true, ran: true})
	}
	for name, test := range map[string]struct {
		verdict Verdict
		at      time.Duration
		runs    [][2]time.Duration
		want    bool
	}{
		"served":               {Served, 9, [][2]time.Duration{{1, 5}}, true},
		"served, never run":    {Served, 9, nil, false},
		"twice":                {Served, 9, [][2]time.Duration{{1, 3}, {4, 5}}, false},
		"shed, never run":      {Shed, 9, nil, true},
		"shed, then run":       {Shed, 3, [][2]time.Duration{{4, 5}}, false},
		"run, then shed":       {Shed, 9, [][2]time.Duration{{1, 2}}, false},
		"failed, ran or not":   {Failed, 9, [][2]time.Duration{{1, 2}}, true},
		"served before it ran": {Served, 3, [][2]time.Duration{{4, 5}}, false},
	} {
		j := &modelJob{
			Job: &Job{ID: name, Class: "ratify"}, env: env,
			answeredAt: test.at, answers: []Answer{{Verdict: test.verdict}},
		}
		for _, r := range test.runs {
			addRun(j, r[0], r[1])
		}
		if got := env.linearizable(j); got != test.want {
			t.Errorf("%s: linearizable() = %v, want %v", name, got, test.want)
		}
	}
}
