package foxlift

// What dispatchers tell each other: once a second their u, with what their jobs hold at each
// worker; of the workers where that has changed, the same at the end of each step. All of it
// is absolute: what is lost, late, doubled or in another order is made good by the next.
// Nothing is decided here.

import (
	"encoding/binary"
	"math"
)

// A message is a head of headerSize bytes (kind, life, number), u if it tells all, and so
// many counts. A dispatcher's life is new with each start, and its messages are numbered.
const (
	usageDelta    = 1
	usageComplete = 2
	headerSize    = 4
	countSize     = 5  // three bytes of the worker's hash, the slots, the memory in memoryUnits
	maxCounts     = 40 // that a message of 256 bytes has room for, with what a host puts around it
	memoryUnits   = 32
	peerTimeout   = 3 * second // after this a peer that is not heard of holds nothing
)

// A peer is what was last heard from another dispatcher.
type peer struct {
	admissionRate float64
	updatedAt     int64 // when it last told all; 0: never
	incarnation   byte
	usage         map[*worker]usage
}

// held is what a dispatcher's jobs hold at a worker.
type usage struct {
	slots, memory float64
	sequence      uint16 // of the message that told it
}

// shares says that the dispatchers tell each other what their jobs hold. What it costs grows
// with the square of their number, and many see too little of each worker to gain by it.
func (d *Dispatcher) exchangesUsage() bool {
	return d.cfg.MayGossip && d.cfg.Dispatchers > 1 && !d.largeFleet()
}

// knows says that this dispatcher knows of all jobs at the workers.
func (d *Dispatcher) knowsAllUsage() bool { return d.cfg.Dispatchers == 1 || d.exchangesUsage() }

func (w *worker) hashTag() uint32 { return uint32(w.hash >> 40) }

// count takes an attempt that begins (1) or has ended (-1) into what its worker holds.
func (d *Dispatcher) countAttempt(a *attempt, by float64) {
	w := a.worker
	w.usedSlots += by * a.slots
	w.slotsSinceReport += by * a.slots
	w.usedMemory += by * a.job.req.Memory
	w.inFlightJobs += int(by)
	d.inFlightSlots += by * a.slots
	if d.exchangesUsage() && !w.dirty {
		w.dirty = true
		d.dirtyWorkers = append(d.dirtyWorkers, w)
	}
}

// tell sends the peers a message about some workers.
func (d *Dispatcher) gossip(kind byte, workers []*worker, withNone bool) {
	d.gossipSequence++
	data := binary.LittleEndian.AppendUint16([]byte{kind, d.incarnation}, d.gossipSequence)
	if kind == usageComplete {
		data = binary.LittleEndian.AppendUint64(data, math.Float64bits(d.rate.AdmissionRate()))
	}
	for _, w := range workers {
		if n := len(data); w.inFlightJobs == 0 && !withNone || n > headerSize+8+countSize*maxCounts {
			continue
		}
		slots, memory := w.usedSlots-w.externalSlots-w.peerUsage.slots, w.usedMemory-w.peerUsage.memory
		data = binary.LittleEndian.AppendUint32(data, w.hashTag()|toByte(slots)<<24)
		data = append(data, byte(toByte(memory*memoryUnits)))
	}
	d.actions = append(d.actions, Action{Kind: ActionMessage, To: -1, Data: data})
}

func toByte(x float64) uint32 { return uint32(min(max(math.Round(x), 0), 255)) }

// gossipAll tells the peers u and what is held everywhere.
func (d *Dispatcher) gossipAll() {
	var workers []*worker
	if d.exchangesUsage() {
		workers = d.workerOrder
	}
	d.gossip(usageComplete, workers, false)
}

// gossipChanges tells the peers what has changed since they were last told.
func (d *Dispatcher) gossipChanges() {
	if len(d.dirtyWorkers) == 0 {
		return
	}
	d.gossip(usageDelta, d.dirtyWorkers, true)
	for _, w := range d.dirtyWorkers {
		w.dirty = false
	}
	d.dirtyWorkers = d.dirtyWorkers[:0]
}

func (d *Dispatcher) onMessage(from int, data []byte) {
	if from < 0 || from >= len(d.peers) || from == d.cfg.Index || len(data) < headerSize {
		return
	}
	kind, life, number, rest := data[0], data[1], binary.LittleEndian.Uint16(data[2:]), data[headerSize:]
	u := 0.0
	if kind == usageComplete && len(rest) >= 8 {
		u, rest = math.Float64frombits(binary.LittleEndian.Uint64(rest)), rest[8:]
	} else if kind != usageDelta {
		return
	}
	if !(u >= 0) || len(rest)%countSize != 0 {
		return
	}
	p := &d.peers[from]
	if p.incarnation != life {
		d.clearPeerUsage(p)
		p.incarnation = life
	}
	if kind == usageComplete {
		p.admissionRate, p.updatedAt = u, d.now
	}
	if !d.exchangesUsage() {
		return
	}
	for _, w := range d.workerOrder {
		h, named := usage{sequence: number}, kind == usageComplete
		for c := rest; len(c) > 0; c = c[countSize:] {
			if x := binary.LittleEndian.Uint32(c); x&0xffffff == w.hashTag() {
				h.slots, h.memory, named = float64(x>>24), float64(c[4])/memoryUnits, true
			}
		}
		if named {
			d.applyPeerUsage(p, w, h)
		}
	}
}

// hears counts what a peer holds at a worker, unless something newer was heard of it.
func (d *Dispatcher) applyPeerUsage(p *peer, w *worker, h usage) {
	old, there := p.usage[w]
	if there && int16(h.sequence-old.sequence) < 0 {
		return
	}
	w.usedSlots += h.slots - old.slots
	w.peerUsage.slots += h.slots - old.slots
	w.usedMemory += h.memory - old.memory
	w.peerUsage.memory += h.memory - old.memory
	if p.usage == nil {
		p.usage = map[*worker]usage{}
	}
	p.usage[w] = h
	d.updateLevel(w)
}

// clearPeerUsage forgets what a peer holds.
func (d *Dispatcher) clearPeerUsage(p *peer) {
	for _, w := range d.workerOrder {
		if old, there := p.usage[w]; there {
			d.applyPeerUsage(p, w, usage{sequence: old.sequence})
		}
	}
	p.usage = nil
}

// meanAdmissionRate is the mean of u here and at the peers that were lately heard of. One that fell
// silent holds nothing any more.
func (d *Dispatcher) meanAdmissionRate() float64 {
	sum, n := d.rate.AdmissionRate(), 1.0
	for i := range d.peers {
		p := &d.peers[i]
		if p.updatedAt != 0 && d.now-p.updatedAt < peerTimeout {
			sum += p.admissionRate
			n++
		} else if p.usage != nil {
			d.clearPeerUsage(p)
		}
	}
	return sum / n
}
