package core

import (
	"encoding/json"
	"testing"

	"github.com/vatu-meals/foxlift"
)

// state returns what the rig's core hands over, through JSON.
func (r *rig) savedState(t *testing.T) *State {
	t.Helper()
	text, err := json.Marshal(r.state())
	if err != nil {
		t.Fatal(err)
	}
	s := &State{}
	if err := json.Unmarshal(text, s); err != nil {
		t.Fatal(err)
	}
	return s
}

// loadState lets another core go on from a state.
func (r *rig) loadState(t *testing.T, s *State) {
	t.Helper()
	r.applyEvent(eventFunc(func(c *Core) { c.restore(s) }))
}

// An id of a job that must not run twice is refused by the process that takes over, whether the job
// is answered or still open; one of a job that may is not.
func TestRestoredIDs(t *testing.T) {
	older, newer := newRig(t), newRig(t)
	older.submit("open", "ratify", "t")
	older.submit("answered", "ratify", "t")
	older.applyEvent(attemptReported{older.jobs.open["answered"].attempts[0], Report{Ended: true, Code: foxlift.Served}})
	s := older.savedState(t)
	if s.Open != 1 || len(s.InFlight) != 1 {
		t.Errorf("open %d, out %v; want one job at one node", s.Open, s.InFlight)
	}
	newer.loadState(t, s)
	for id, rejected := range map[string]bool{"open": true, "answered": true, "fresh": false} {
		a := newer.submit(id, "ratify", "t")
		if got := len(a.answers) == 1 && a.answers[0].Verdict == Rejected; got != rejected {
			t.Errorf("%s: answers %v, want it rejected: %v", id, a.answers, rejected)
		}
	}
	older = newRig(t)
	older.submit("reading", "reading", "t")
	older.applyEvent(attemptReported{older.jobs.open["reading"].attempts[0], Report{Ended: true, Code: foxlift.Served}})
	if ids := older.state().IDs; len(ids) != 0 {
		t.Errorf("ids %v of jobs that may run again", ids)
	}
}

// What the older process has out at nodes counts there until it is told otherwise, also when the
// list comes anew: jobs go to the node that is free.
func TestExternalSlotsCount(t *testing.T) {
	r := newRig(t)
	r.applyEvent(externalSlotsChanged{map[string]float64{"n1": 50, "n2": 50, "gone": 1}})
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsComplete, workers: []foxlift.Worker{{ID: "n1", Kind: -1}, {ID: "n2", Kind: -1}, {ID: "n3", Kind: -1}}})
	for _, id := range []string{"a", "b"} {
		r.submit(id, "reading", "t")
		if r.lastWorker != "n3" {
			t.Errorf("%s went to %q, want n3", id, r.lastWorker)
		}
	}
	r.applyEvent(externalSlotsChanged{nil})
	if a := r.workers.byID["n1"].forCell(r.cells.all[0]); a.ExternalSlots != 0 {
		t.Errorf("%v slots of others are left", a.ExternalSlots)
	}
}

// The budget of open jobs may change while jobs are open.
func TestMaxOpenChanges(t *testing.T) {
	r := newRig(t)
	r.applyEvent(maxOpenChanged{1})
	r.submit("a", "ratify", "t")
	if a := r.submit("b", "ratify", "t"); len(a.answers) != 1 || a.answers[0].Verdict != Shed {
		t.Errorf("answers %v past the budget, want a refusal", a.answers)
	}
	r.applyEvent(maxOpenChanged{9})
	if a := r.submit("c", "ratify", "t"); len(a.answers) != 0 {
		t.Errorf("answers %v within the budget, want none yet", a.answers)
	}
	if r.Active() != 2 {
		t.Errorf("%d active, want 2", r.Active())
	}
}
