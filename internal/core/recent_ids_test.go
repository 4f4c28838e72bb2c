package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

// Guards against ids of answered jobs that take any amount of memory. Beyond the bound, ids of jobs that may run twice
// are dropped, the oldest first; those of the others stay until they expire.
func TestRecentIDsAreBounded(t *testing.T) {
	const retention, entries = time.Minute, 10
	ids := newRecentIDs(retention)
	ids.maxBytes = entries * recentID{id: "a0"}.size()
	for i := range 2 * entries {
		ids.add(fmt.Sprintf("a%d", i%10), i < entries/2, int64(i)) // the later ones are known already
	}
	for i := range 3 {
		ids.add(fmt.Sprintf("b%d", i), false, int64(100+i))
	}
	for id, want := range map[string]bool{"a0": true, "a4": true, "a5": false, "a7": false, "a8": true, "b2": true} {
		if got := ids.has(id); got != want {
			t.Errorf("has(%q) = %t, want %t", id, got, want)
		}
	}
	if used := ids.runOnce.bytes + ids.others.bytes; used > ids.maxBytes || len(ids.known) != entries {
		t.Errorf("%d ids take %d bytes, want %d and at most %d bytes", len(ids.known), used, entries, ids.maxBytes)
	}
	if at, ok := ids.nextExpiry(); !ok || at != int64(retention) {
		t.Errorf("nextExpiry() = %d, %t, want %d and true", at, ok, int64(retention))
	}
	if expired := ids.expire(int64(retention) + 2); len(expired) != 3 || ids.has("a2") || !ids.has("a3") {
		t.Errorf("expire() removed %v, want a0 to a2", expired)
	}
	ids.expire(1 << 62)
	if _, ok := ids.nextExpiry(); ok || len(ids.known) != 0 {
		t.Errorf("%d ids are left after all have expired, want 0", len(ids.known))
	}
}

// Guards against an at-most-once job whose id cannot be kept: a repeat of it would run again. It is shed, and other
// jobs are served. Ids of jobs that never ran do not use up the memory.
func TestNoMemoryForIDsOfAtMostOnceJobs(t *testing.T) {
	r := newRig(t)
	r.jobs.recent.maxBytes = 2 * recentID{id: "j0"}.size()
	for i := range 2 {
		r.submit(fmt.Sprint("j", i), "ratify", "t")
		r.complete(i, foxlift.Served)
	}
	if client := r.submit("k", "ratify", "t"); !client.wasShed() || r.counters.Get("jobs.ids_full") != 1 {
		t.Errorf("answers are %+v and jobs.ids_full is %d, want one Shed with RetryAfter and 1",
			client.answers, r.counters.Get("jobs.ids_full"))
	}
	if r.submit("l", "reading", "t"); len(r.sent) != 3 {
		t.Errorf("%d attempts after an idempotent job, want 3", len(r.sent))
	}
	if client := r.submit("j0", "ratify", "t"); !client.gotOnly(Rejected) {
		t.Errorf("answers to a recent id are %+v, want one with verdict Rejected", client.answers)
	}
	r.expireIDs()
	if r.submit("m", "ratify", "t"); len(r.sent) != 4 {
		t.Errorf("%d attempts after the ids have expired, want 4", len(r.sent))
	}
}
