package core

import (
	"encoding/json"
	"testing"

	"github.com/vatu-meals/foxlift"
)

// state returns what the rig's core hands over, through JSON.
func (r *rig) handedOver(t *testing.T) *State {
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

// takeOver lets another core go on from a state.
func (r *rig) takeOver(t *testing.T, s *State) {
	t.Helper()
	r.do(operation{func(c *Core) { c.goOnFrom(s) }, make(chan struct{})})
}

// An id of a job that must not run twice is refused by the process that takes over, whether the job
// is answered or still open; one of a job that may is not.
func TestHandedOverIDs(t *testing.T) {
	older, newer := newRig(t), newRig(t)
	older.take("open", "ratify", "t")
	older.take("answered", "ratify", "t")
	older.do(claimReported{older.open["answered"].claims[0], Report{Ended: true, Code: foxlift.Served}})
	s := older.handedOver(t)
	if s.Open != 1 || len(s.InFlight) != 1 {
		t.Errorf("open %d, out %v; want one job at one node", s.Open, s.InFlight)
	}
	newer.takeOver(t, s)
	for id, rejected := range map[string]bool{"open": true, "answered": true, "fresh": false} {
		a := newer.take(id, "ratify", "t")
		if got := len(a.got) == 1 && a.got[0].Verdict == Rejected; got != rejected {
			t.Errorf("%s: answers %v, want it rejected: %v", id, a.got, rejected)
		}
	}
	older = newRig(t)
	older.take("reading", "reading", "t")
	older.do(claimReported{older.open["reading"].claims[0], Report{Ended: true, Code: foxlift.Served}})
	if ids := older.state().IDs; len(ids) != 0 {
		t.Errorf("ids %v of jobs that may run again", ids)
	}
}

// What the older process has out at nodes counts there until it is told otherwise, also when the
// list comes anew: jobs go to the node that is free.
func TestOthersCount(t *testing.T) {
	r := newRig(t)
	r.do(othersTold{map[string]float64{"n1": 50, "n2": 50, "gone": 1}})
	r.do(machinesTold{kind: foxlift.EndpointsComplete, entries: []foxlift.Worker{{ID: "n1", Kind: -1}, {ID: "n2", Kind: -1}, {ID: "n3", Kind: -1}}})
	for _, id := range []string{"a", "b"} {
		r.take(id, "reading", "t")
		if r.lastNode != "n3" {
			t.Errorf("%s went to %q, want n3", id, r.lastNode)
		}
	}
	r.do(othersTold{nil})
	if a := r.known["n1"].seenBy(r.cells[0]); a.ExternalSlots != 0 {
		t.Errorf("%v slots of others are left", a.ExternalSlots)
	}
}

// The budget of open jobs may change while jobs are open.
func TestMostChanges(t *testing.T) {
	r := newRig(t)
	r.do(mostChanged{1})
	r.take("a", "ratify", "t")
	if a := r.take("b", "ratify", "t"); len(a.got) != 1 || a.got[0].Verdict != Shed {
		t.Errorf("answers %v past the budget, want a refusal", a.got)
	}
	r.do(mostChanged{9})
	if a := r.take("c", "ratify", "t"); len(a.got) != 0 {
		t.Errorf("answers %v within the budget, want none yet", a.got)
	}
	if r.Active() != 2 {
		t.Errorf("%d active, want 2", r.Active())
	}
}
