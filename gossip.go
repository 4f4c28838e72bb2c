package foxlift

// The exchange of admission rates and worker usage with peers, and the accounting of usage at the workers.
// Nothing is decided here.

import (
	"github.com/vatu-meals/foxlift/internal/decision/gossip"
)

// A peerExchange holds the state of the messages to and from the peers.
type peerExchange struct {
	peers    gossip.Table[*worker]
	sender   gossip.Sender
	outgoing gossip.Message // the last message sent, reused as a buffer
	incoming gossip.Message // the last message received, reused as a buffer
	changed  []*worker      // workers whose usage changed in the current step
}

// newPeerExchange returns the exchange of a newly started process. The incarnation number comes from seed.
func newPeerExchange(cfg *Config, seed uint64) peerExchange {
	return peerExchange{
		peers:  gossip.NewTable[*worker](cfg.Dispatchers, cfg.Index),
		sender: gossip.NewSender(byte(seed ^ seed>>32)),
	}
}

// exchangesUsage reports whether the dispatchers exchange the usage of their jobs. With many dispatchers they
// do not: the cost grows with the square of their number, and each sees too little of a worker to gain by it.
func (d *Dispatcher) exchangesUsage() bool {
	return d.cfg.MayGossip && d.cfg.Dispatchers > 1 && !d.manyDispatchers()
}

// hasCompleteUsage reports whether this dispatcher receives the usage of all jobs at the workers, peers' jobs included.
func (d *Dispatcher) hasCompleteUsage() bool { return d.cfg.Dispatchers == 1 || d.exchangesUsage() }

// countAttempt adds an attempt that begins (sign 1) to its worker's usage, or subtracts an ended one (sign -1).
func (d *Dispatcher) countAttempt(a *attempt, sign float64) {
	w := a.worker
	slots := float64(sign * a.slots)
	w.usedSlots += slots
	w.report.AddSentSlots(slots)
	w.usedMemory += float64(sign * a.job.req.Memory)
	w.inFlightJobs += int(sign)
	d.capacity.inFlightSlots += slots
	if d.exchangesUsage() && !w.dirty {
		w.dirty = true
		d.exchange.changed = append(d.exchange.changed, w)
	}
}

// sendGossip sends the peers a message with this dispatcher's usage at some workers. A complete message
// leaves out workers without jobs of this dispatcher. Workers that do not fit are dropped (Message.AddUsage):
// to the peers their usage is zero after a complete message, and unchanged after another one.
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

// gossipAll sends the peers a complete message: the admission rate and, if exchanged, the usage at all workers.
func (d *Dispatcher) gossipAll() {
	var workers []*worker
	if d.exchangesUsage() {
		workers = d.workerOrder
	}
	d.sendGossip(true, workers)
}

// gossipChanges sends the peers the usage that changed in this step, or nothing if none did.
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

// onMessage handles a peer's message. Invalid messages and unknown senders are ignored.
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

// applyPeerUsage adds a change of the peers' usage at a worker to the worker's total usage.
func (d *Dispatcher) applyPeerUsage(w *worker, change gossip.Usage) {
	w.usedSlots += change.Slots
	w.peerUsage.Slots += change.Slots
	w.usedMemory += change.Memory
	w.peerUsage.Memory += change.Memory
	d.updateLevel(w)
}

// clearPeerUsage removes all usage of a peer from the table and from the workers' totals.
func (d *Dispatcher) clearPeerUsage(from int) {
	peers := &d.exchange.peers
	for _, w := range d.workerOrder {
		if change, changed := peers.ClearUsage(from, w); changed {
			d.applyPeerUsage(w, change)
		}
	}
	peers.DropUsage(from)
}

// meanAdmissionRate returns the mean of this dispatcher's admission rate and those of the peers that sent a
// complete message within gossip.PeerTimeout. It clears the usage of peers that timed out.
func (d *Dispatcher) meanAdmissionRate() float64 {
	peers := &d.exchange.peers
	for from := range peers.Len() {
		if peers.Expired(from, d.now) {
			d.clearPeerUsage(from)
		}
	}
	return peers.MeanAdmissionRate(d.rate.AdmissionRate(), d.now)
}
