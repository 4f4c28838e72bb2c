package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// A touch is an operation of a job's history: a run of it on a node, or what its
// submitter was told.
type registerOp struct {
	run     bool
	verdict Verdict
}

// The register: an at-most-once job that has run cannot run again, one that was refused
// cannot run later, and one that is served has run.
type register struct{ hasRun, shed bool }

var onceModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		r, x := state.(register), input.(registerOp)
		switch {
		case x.run:
			return !r.hasRun && !r.shed, register{true, r.shed}
		case x.verdict == Served:
			return r.hasRun, r
		case x.verdict == Shed:
			return !r.hasRun, register{r.hasRun, true}
		}
		return true, r
	},
	Equal: func(a, b any) bool { return a == b },
}

func (w *world) linearizable(j *modelJob) bool {
	var ops []porcupine.Operation
	if len(j.answers) > 0 && j.answers[0].Verdict != Rejected {
		ops = append(ops, porcupine.Operation{Input: registerOp{verdict: j.answers[0].Verdict}, Call: int64(j.submittedAt), Return: int64(j.answeredAt)})
	}
	for i, c := range w.attempts {
		// An id that was refused may come again, and run then.
		later := c.job != j && len(j.answers) > 0 && j.answers[0].Verdict == Shed && c.sentAt >= j.answeredAt
		if c.job.sameAs(j) && c.job.Class == "ratify" && c.ran && !later {
			ops = append(ops, porcupine.Operation{ClientId: i + 1, Input: registerOp{run: true}, Call: int64(c.sentAt), Return: int64(c.endedAt)})
		}
	}
	return porcupine.CheckOperations(onceModel, ops)
}

func (w *world) describe(j *modelJob) string {
	s := fmt.Sprintf("asked at %v, %+v at %v", j.submittedAt, j.answers, j.answeredAt)
	for _, c := range w.attempts {
		if c.job == j {
			s += fmt.Sprintf("; on %s from %v to %v: %d, ran %v", c.worker, c.sentAt, c.endedAt, c.code, c.ran)
		}
	}
	return s
}

// The oracles see: histories that break the register's rules are told from those that
// do not.
func TestRegisterModel(t *testing.T) {
	w := &world{startedAt: time.Now()}
	claim := func(j *modelJob, from, to time.Duration, ran bool) {
		w.attempts = append(w.attempts, &modelAttempt{job: j, sentAt: from, endedAt: to, ended: true, ran: ran})
	}
	for name, c := range map[string]struct {
		verdict Verdict
		at      time.Duration
		runs    [][2]time.Duration
		want    bool
	}{
		"served":               {Served, 9, [][2]time.Duration{{1, 5}}, true},
		"served, never run":    {Served, 9, nil, false},
		"twice":                {Served, 9, [][2]time.Duration{{1, 3}, {4, 5}}, false},
		"refused, never run":   {Shed, 9, nil, true},
		"refused, then run":    {Shed, 3, [][2]time.Duration{{4, 5}}, false},
		"run, then refused":    {Shed, 9, [][2]time.Duration{{1, 2}}, false},
		"failed, ran or not":   {Failed, 9, [][2]time.Duration{{1, 2}}, true},
		"served before it ran": {Served, 3, [][2]time.Duration{{4, 5}}, false},
	} {
		j := &modelJob{Job: &Job{ID: name, Class: "ratify"}, world: w, answeredAt: c.at, answers: []Answer{{Verdict: c.verdict}}}
		for _, r := range c.runs {
			claim(j, r[0], r[1], true)
		}
		if got := w.linearizable(j); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
