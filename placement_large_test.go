package foxlift

import "testing"

// A job that has not started stays where it is for as long as any start may take, whatever the number
// of dispatchers and however cold the workers are: whether a worker drops what is called off nobody
// says, and where it does not each move is work done for nothing.
func TestJobsStayWhereTheyAreSent(t *testing.T) {
	for _, dispatchers := range []int{3, 80} {
		for _, cold := range []int64{0, 4 * second} {
			cfg := manyConfig()
			cfg.Dispatchers = dispatchers
			ws := fleet(8)
			for i := range ws {
				ws[i].StartedAt = cold
			}
			r := newRig(t, cfg, ws...)
			r.d.peakWorkerRate = 1
			for _, w := range r.d.workerOrder {
				w.slowStartWork = 0 // its first job may come
			}
			r.after(r.d.tickInterval)
			r.step(r.request(1, 0))
			r.want(ActionSend, 1)
			for limit := r.now + r.d.jobs[1].objective/4; r.now < limit-ms; {
				r.after(ms)
				r.want(ActionSend, 0)
				r.want(ActionCancel, 0)
			}
		}
	}
}

// A start is late by what its way there takes at least: the handshake with another zone may take
// longer than a job may wait, and is no sign of a queue.
func TestLateStartsAreLateForTheirWay(t *testing.T) {
	cfg := manyConfig()
	ws := fleet(8)
	for i := range ws {
		ws[i].Zone = 1 - cfg.Zone
	}
	r := newRig(t, cfg, ws...)
	for id := uint64(1); id <= 2; id++ {
		r.step(r.request(id, 0))
		sent := r.want(ActionSend, 1)[0]
		r.after(40*ms, started(id, 0, sent.Worker)) // 3 ticks
		if got := r.d.minDelay[r.d.jobs[id].attempts[0].path]; got != 40*ms {
			t.Errorf("the way takes %d", got)
		}
		if w := r.d.workers[sent.Worker]; w.promptStartAt == 0 || w.lastFaultAt != 0 || r.d.startWindow < 1 {
			t.Error("the worker counts as full for its distance")
		}
		r.after(ms, outcome(id, 0, sent.Worker, Served))
	}
	r.d.minDelay = [4]int64{40 * ms, 40 * ms, 40 * ms, 40 * ms}
	r.step(r.request(3, 0))
	sent := r.want(ActionSend, 1)[0]
	r.after(70*ms, started(3, 0, sent.Worker))
	if w := r.d.workers[sent.Worker]; w.lastFaultAt != r.now {
		t.Error("a start 30 ms past its way counts as prompt")
	}
}

// Jobs that cannot be moved wait here while two wait at workers; those that can go on.
func TestManyKeepQueuesShort(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(60)...)
	r.step(r.request(1, 1), r.request(2, 1), r.request(3, 1), r.request(4, 0))
	sent := r.want(ActionSend, 3)
	for _, a := range sent {
		if a.ID == 3 {
			t.Error("a third job is sent to wait")
		}
	}
	r.after(ms, started(1, 0, r.d.jobs[1].attempts[0].worker.id))
	if a := r.want(ActionSend, 1)[0]; a.ID != 3 {
		t.Errorf("job %d is sent once another has started", a.ID)
	}
}

// A job that stays where it is sent goes where one has just started at once, though that
// worker has a job of ours: the others may hang.
func TestWhatStaysGoesWhereOneHasStarted(t *testing.T) {
	ws := fleet(10)
	for i := range ws {
		ws[i].Zone = 0
	}
	r := newRig(t, manyConfig(), ws...)
	r.step(r.request(1, 0))
	proven := r.want(ActionSend, 1)[0].Worker
	r.after(ms, started(1, 0, proven))
	r.after(10*ms, r.request(2, 1))
	if a := r.want(ActionSend, 1)[0]; a.Worker != proven {
		t.Errorf("it goes to %s, one started at %s", a.Worker, proven)
	}
}

// Of many workers each of many dispatchers samples a few. One that has just served
// a job of ours has a slot free and our connection open: it is looked at whatever
// the sample holds.
func TestManyLookWhereASlotCameFree(t *testing.T) {
	for dispatchers, least := range map[int]int{80: 15, 3: 0} {
		cfg := manyConfig()
		cfg.Dispatchers, cfg.StartNotes = dispatchers, false
		cfg.Prices.Handshake = 0.02
		r := newRig(t, cfg, fleet(200)...)
		last, again := "", 0
		for id := uint64(1); id <= 20; id++ {
			r.after(ms, r.request(id, 0))
			a := r.want(ActionSend, 1)[0]
			if a.Worker == last {
				again++
			}
			last = a.Worker
			r.after(ms, outcome(id, a.Attempt, a.Worker, Served))
		}
		if again < least || dispatchers <= 4 && again > 10 {
			t.Errorf("%d dispatchers: %d of 20 jobs went where the last was served", dispatchers, again)
		}
	}
}

// What a worker did with the last of our jobs holds: one that had room is preferred to one
// not met yet, that to one that had none, and more so the newer the word of room.
func TestManyRememberWhereThereWasRoom(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(4)...)
	good, unmet, bad, old := r.d.workerOrder[0], r.d.workerOrder[1], r.d.workerOrder[2], r.d.workerOrder[3]
	good.promptStartAt, bad.lastFaultAt, old.promptStartAt = r.now, r.now, r.now
	r.now += 20 * second
	r.step()
	good.promptStartAt = r.now
	bad.promptStartAt = r.now - 30*second
	order := []*worker{good, old, unmet, bad}
	for i, w := range order[1:] {
		if d := r.d.failureLikelihood(order[i]); d >= r.d.failureLikelihood(w) {
			t.Errorf("%s is doubted by %.2f, %s by %.2f", order[i].id, d, w.id, r.d.failureLikelihood(w))
		}
	}
	for id, w := range order {
		r.step(r.request(uint64(id+1), 1))
		if a := r.only(ActionSend); len(a) == 1 && a[0].Worker != w.id {
			t.Errorf("job %d goes to %s, want %s", id+1, a[0].Worker, w.id)
		}
		r.step(outcome(uint64(id+1), 0, w.id, Saturated))
	}
}

// Each of many has few jobs at a worker: a crossing must not outweigh any number of them, or a zone
// that gets more than its part refuses jobs while the others have room.
func TestManyCrossWhereTheirZoneIsFull(t *testing.T) {
	for dispatchers, crosses := range map[int]bool{3: false, 80: true} {
		cfg := manyConfig()
		cfg.Dispatchers, cfg.Prices.CrossZone = dispatchers, 0.1
		ws := fleet(2)
		ws[0].Zone, ws[1].Zone = cfg.Zone, 1-cfg.Zone
		r := newRig(t, cfg, ws...)
		r.step(r.request(1, 0))
		if a := r.want(ActionSend, 1)[0]; a.Worker != ws[0].ID {
			t.Errorf("%d dispatchers: the first crosses", dispatchers)
		}
		r.step(started(1, 0, ws[0].ID), r.request(2, 0))
		if a := r.want(ActionSend, 1)[0]; (a.Worker != ws[0].ID) != crosses {
			t.Errorf("%d dispatchers: the second crosses %v", dispatchers, !crosses)
		}
	}
}
