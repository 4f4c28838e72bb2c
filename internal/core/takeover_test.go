package core

import (
	"encoding/json"
	"testing"

	"github.com/vatu-meals/foxlift"
)

// savedState returns what the rig's core hands over, through JSON.
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

// An id of a job that must not run twice is rejected by the process that takes over, whether the job is
// answered or still open; one of a job that may is not.
func TestRestoredIDs(t *testing.T) {
	older, newer := newRig(t), newRig(t)
	older.submit("open", "ratify", "t")
	older.submit("answered", "ratify", "t")
	older.applyEvent(attemptReported{older.jobs.open["answered"].attempts[0], ended(foxlift.Served)})
	s := older.savedState(t)
	if s.Open != 1 || len(s.InFlight) != 1 {
		t.Errorf("open %d, in flight %v; want one job at one worker", s.Open, s.InFlight)
	}
	newer.loadState(t, s)
	for id, rejected := range map[string]bool{"open": true, "answered": true, "fresh": false} {
		client := newer.submit(id, "ratify", "t")
		if got := client.gotOnly(Rejected); got != rejected {
			t.Errorf("%s: answers %v, want it rejected: %v", id, client.answers, rejected)
		}
	}
	older = newRig(t)
	older.submit("reading", "reading", "t")
	older.applyEvent(attemptReported{older.jobs.open["reading"].attempts[0], ended(foxlift.Served)})
	if ids := older.state().IDs; len(ids) != 0 {
		t.Errorf("ids %v of jobs that may run again", ids)
	}
}

// What the predecessor has in flight at workers counts there until it is told otherwise, also when the
// list comes anew: jobs go to the worker that is free.
func TestExternalSlotsCount(t *testing.T) {
	r := newRig(t)
	r.applyEvent(externalSlotsChanged{map[string]float64{"n1": 50, "n2": 50, "gone": 1}})
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsComplete, workers: threeWorkers()})
	for _, id := range []string{"a", "b"} {
		r.submit(id, "reading", "t")
		if r.lastSentTo != "n3" {
			t.Errorf("%s went to %q, want n3", id, r.lastSentTo)
		}
	}
	r.applyEvent(externalSlotsChanged{nil})
	if w := r.workers.byID["n1"].forCell(r.cells.all[0]); w.ExternalSlots != 0 {
		t.Errorf("%v external slots are left", w.ExternalSlots)
	}
}

// The bound on open jobs may change while jobs are open.
func TestMaxOpenChanges(t *testing.T) {
	r := newRig(t)
	r.applyEvent(maxOpenChanged{1})
	r.submit("a", "ratify", "t")
	if client := r.submit("b", "ratify", "t"); !client.gotOnly(Shed) {
		t.Errorf("answers %v past the bound, want it shed", client.answers)
	}
	r.applyEvent(maxOpenChanged{9})
	if client := r.submit("c", "ratify", "t"); len(client.answers) != 0 {
		t.Errorf("answers %v within the bound, want none yet", client.answers)
	}
	if r.Active() != 2 {
		t.Errorf("%d active, want 2", r.Active())
	}
}
