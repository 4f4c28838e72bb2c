package foxlift

// What dispatchers tell each other, and what the workers hold by it. Nothing is decided here.

import (
	"github.com/vatu-meals/foxlift/internal/decision/gossip"
)

// A peerExchange is the state of the messages to and from the other dispatchers.
type peerExchange struct {
	peers    gossip.Table[*worker]
	sender   gossip.Sender
	outgoing gossip.Message // the last one; its space is used again
	incoming gossip.Message // the same
	changed  []*worker      // where something changed that peers have not been told
}

// newPeerExchange returns the exchange of a process that has just started.
func newPeerExchange(cfg *Config, seed uint64) peerExchange {
	return peerExchange{
		peers:  gossip.NewTable[*worker](cfg.Dispatchers, cfg.Index),
		sender: gossip.NewSender(byte(seed ^ seed>>32)),
	}
}

// exchangesUsage says that the dispatchers tell each other what their jobs hold. What it costs grows
// with the square of their number, and many see too little of each worker to gain by it.
func (d *Dispatcher) exchangesUsage() bool {
	return d.cfg.MayGossip && d.cfg.Dispatchers > 1 && !d.manyDispatchers()
}

// hasCompleteUsage says that this dispatcher knows of all jobs at the workers.
func (d *Dispatcher) hasCompleteUsage() bool { return d.cfg.Dispatchers == 1 || d.exchangesUsage() }

// countAttempt takes an attempt that begins (1) or has ended (-1) into what its worker holds.
func (d *Dispatcher) countAttempt(a *attempt, sign float64) {
	w := a.worker
	w.usedSlots += sign * a.slots
	w.report.AddSentSlots(sign * a.slots)
	w.usedMemory += sign * a.job.req.Memory
	w.inFlightJobs += int(sign)
	d.capacity.inFlightSlots += sign * a.slots
	if d.exchangesUsage() && !w.dirty {
		w.dirty = true
		d.exchange.changed = append(d.exchange.changed, w)
	}
}

// sendGossip sends the peers a message about some workers.
func (d *Dispatcher) sendGossip(complete bool, workers []*worker) {
	m := &d.exchange.outgoing
	d.exchange.sender.Begin(m, complete, d.rate.AdmissionRate())
	for _, w := range workers {
		if complete && w.inFlightJobs == 0 {
			continue
		}
		m.AddUsage(gossip.TagOf(w.hash), gossip.Usage{
			Slots:  w.usedSlots - w.externalSlots - w.peerUsage.Slots,
			Memory: w.usedMemory - w.peerUsage.Memory,
		})
	}
	d.actions = append(d.actions, Action{Kind: ActionMessage, To: -1, Data: m.Encode()})
}

// gossipAll tells the peers the admission rate and what is held everywhere.
func (d *Dispatcher) gossipAll() {
	var workers []*worker
	if d.exchangesUsage() {
		workers = d.workerOrder
	}
	d.sendGossip(true, workers)
}

// gossipChanges tells the peers what has changed since they were last told.
func (d *Dispatcher) gossipChanges() {
	exchange := &d.exchange
	if len(exchange.changed) == 0 {
		return
	}
	d.sendGossip(false, exchange.changed)
	for _, w := range exchange.changed {
		w.dirty = false
	}
	exchange.changed = exchange.changed[:0]
}

// onMessage takes in a peer's message. What is none is ignored.
func (d *Dispatcher) onMessage(from int, data []byte) {
	peers, m := &d.exchange.peers, &d.exchange.incoming
	if !peers.IsPeer(from) || !m.Decode(data) {
		return
	}
	if peers.Restarted(from, m) {
		d.clearPeerUsage(from)
	}
	peers.Record(from, m, d.now)
	if !d.exchangesUsage() {
		return
	}
	for _, w := range d.workerOrder {
		usage, included := m.UsageOf(gossip.TagOf(w.hash))
		if !included {
			continue
		}
		if change, changed := peers.RecordUsage(from, w, usage, m.Sequence); changed {
			d.applyPeerUsage(w, change)
		}
	}
}

// applyPeerUsage takes a change of what peers hold at a worker into what it holds in all.
func (d *Dispatcher) applyPeerUsage(w *worker, change gossip.Usage) {
	w.usedSlots += change.Slots
	w.peerUsage.Slots += change.Slots
	w.usedMemory += change.Memory
	w.peerUsage.Memory += change.Memory
	d.updateLevel(w)
}

// clearPeerUsage forgets what a peer holds.
func (d *Dispatcher) clearPeerUsage(from int) {
	peers := &d.exchange.peers
	for _, w := range d.workerOrder {
		if change, changed := peers.ClearUsage(from, w); changed {
			d.applyPeerUsage(w, change)
		}
	}
	peers.DropUsage(from)
}

// meanAdmissionRate is the mean of the admission rate here and at the peers that were lately heard of.
// One that fell silent holds nothing any more.
func (d *Dispatcher) meanAdmissionRate() float64 {
	peers := &d.exchange.peers
	for from := range peers.Len() {
		if peers.Expired(from, d.now) {
			d.clearPeerUsage(from)
		}
	}
	return peers.MeanAdmissionRate(d.rate.AdmissionRate(), d.now)
}
