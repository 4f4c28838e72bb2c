package core

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

// In a takeover a job that must not run twice waits until the predecessor's ids are known from a state that is newer
// than the job. Otherwise an id that the predecessor has just accepted runs again when its client comes back at once.
func TestJobsAwaitThePredecessorsIDs(t *testing.T) {
	r := newRig(t)
	r.applyEvent(predecessorFound{})
	r.submit("reading", "reading", "t")
	if len(r.sent) != 1 {
		t.Fatalf("attempts of an idempotent job: %d, want 1 at once", len(r.sent))
	}
	r.complete(0, foxlift.Served)
	again, other := r.submit("again", "ratify", "t"), r.submit("other", "ratify", "t")
	held := r.predecessor.held[0].from
	r.applyEvent(predecessorIDsRead{takenAt: held - 1})
	if len(r.atMostOnceIDs) != 0 {
		t.Errorf("attempts by an older state: %v, want none", r.atMostOnceIDs)
	}
	r.applyEvent(predecessorIDsRead{takenAt: r.clock.Now() + 1, ids: []string{"again"}})
	if !again.gotOnly(Rejected) {
		t.Errorf("answers to the predecessor's id are %v, want one rejection", again.answers)
	}
	if len(r.atMostOnceIDs) != 1 || r.atMostOnceIDs[0] != "other" {
		t.Errorf("at-most-once attempts %v, want one of the other job", r.atMostOnceIDs)
	}
	if len(other.answers) != 0 {
		t.Errorf("answers to the other job are %v, want none yet", other.answers)
	}
	if later := r.submit("again", "ratify", "t"); !later.gotOnly(Rejected) {
		t.Errorf("answers to the same id later are %v, want one rejection", later.answers)
	}
}

// Held jobs must be admitted once the predecessor has exited or hangs, and a job that was answered meanwhile must not
// be sent.
func TestHeldJobsAreAdmittedWithoutThePredecessor(t *testing.T) {
	for name, release := range map[string]func(r *rig){
		"exited": func(r *rig) { r.applyEvent(predecessorExited{}) },
		"hangs": func(r *rig) {
			for i := range r.predecessor.held {
				r.predecessor.held[i].from -= int64(maxIDWait)
			}
			r.applyEvent(heldTooLong{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.applyEvent(predecessorFound{})
			r.submit("waits", "ratify", "t")
			left, client := r.newJob("left", "ratify", "t", 10*time.Second)
			r.applyEvent(jobSubmitted{left})
			r.applyEvent(clientDisconnected{left})
			release(r)
			if len(r.atMostOnceIDs) != 1 || r.atMostOnceIDs[0] != "waits" {
				t.Errorf("at-most-once attempts %v, want one of the job that waits", r.atMostOnceIDs)
			}
			if !client.gotOnly(Failed) {
				t.Errorf("answers to the client that left are %v, want one failure", client.answers)
			}
		})
	}
}
