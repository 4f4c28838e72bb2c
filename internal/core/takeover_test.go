package core

import (
	"encoding/json"
	"testing"

	"github.com/vatu-meals/foxlift"
)

// savedState returns the state that the rig's core hands over, encoded as JSON and decoded again.
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

// loadState restores a state in the rig's core.
func (r *rig) loadState(t *testing.T, s *State) {
	t.Helper()
	r.applyEvent(eventFunc(func(c *Core) { c.restore(s) }))
}

// The successor must reject the ids of the predecessor's jobs that must not run twice, whether the job is open or
// answered. The ids of idempotent jobs are not handed over.
func TestRestoredIDs(t *testing.T) {
	older, newer := newRig(t), newRig(t)
	older.submit("open", "ratify", "t")
	older.submit("answered", "ratify", "t")
	older.applyEvent(attemptReported{older.jobs.open["answered"].attempts[0], ended(foxlift.Served)})
	s := older.savedState(t)
	if s.Open != 1 || len(s.InFlight) != 1 {
		t.Errorf("state has %d open jobs and slots in flight %v, want 1 job at 1 worker", s.Open, s.InFlight)
	}
	newer.loadState(t, s)
	for id, rejected := range map[string]bool{"open": true, "answered": true, "fresh": false} {
		client := newer.submit(id, "ratify", "t")
		if got := client.gotOnly(Rejected); got != rejected {
			t.Errorf("job %s: answers are %v, want rejected = %v", id, client.answers, rejected)
		}
	}
	older = newRig(t)
	older.submit("reading", "reading", "t")
	older.applyEvent(attemptReported{older.jobs.open["reading"].attempts[0], ended(foxlift.Served)})
	if ids := older.state().IDs; len(ids) != 0 {
		t.Errorf("state has ids %v after an idempotent job, want none", ids)
	}
}

// The slots that the predecessor has in flight must count at the workers until they are set again, also after a
// complete endpoint list: jobs must go to the free worker.
func TestExternalSlotsCount(t *testing.T) {
	r := newRig(t)
	r.applyEvent(externalSlotsChanged{map[string]float64{"n1": 50, "n2": 50, "gone": 1}})
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsComplete, workers: threeWorkers()})
	for _, id := range []string{"a", "b"} {
		r.submit(id, "reading", "t")
		if r.lastSentTo != "n3" {
			t.Errorf("job %s is sent to worker %q, want %q", id, r.lastSentTo, "n3")
		}
	}
	r.applyEvent(externalSlotsChanged{nil})
	if w := r.workers.byID["n1"].forCell(r.cells.all[0]); w.ExternalSlots != 0 {
		t.Errorf("forCell() has %v external slots after they were cleared, want 0", w.ExternalSlots)
	}
}

// SetMaxOpen must change the maximum number of open jobs while jobs are open.
func TestMaxOpenChanges(t *testing.T) {
	r := newRig(t)
	r.applyEvent(maxOpenChanged{1})
	r.submit("a", "ratify", "t")
	if client := r.submit("b", "ratify", "t"); !client.gotOnly(Shed) {
		t.Errorf("answers beyond the maximum are %v, want one with verdict Shed", client.answers)
	}
	r.applyEvent(maxOpenChanged{9})
	if client := r.submit("c", "ratify", "t"); len(client.answers) != 0 {
		t.Errorf("answers within the maximum are %v, want none yet", client.answers)
	}
	if r.Active() != 2 {
		t.Errorf("Active() = %d, want 2", r.Active())
	}
}
