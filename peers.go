package foxlift

// What dispatchers tell each other: once a second their u, with what their jobs hold at each
// worker; of the workers where that has changed, the same at the end of each step. All of it
// is absolute: what is lost, late, doubled or in another order is made good by the next.
// Nothing is decided here.

import (
	"encoding/binary"
	"math"
)

// A message is a head of headSize bytes (kind, life, number), u if it tells all, and so
// many counts. A dispatcher's life is new with each start, and its messages are numbered.
const (
	toldChanges = 1
	toldAll     = 2
	headSize    = 4
	countSize   = 5  // three bytes of the worker's hash, the slots, the memory in memoryParts
	mostCounts  = 40 // that a message of 256 bytes has room for, with what a host puts around it
	memoryParts = 32
	peerLasts   = 3 * second // after this a peer that is not heard of holds nothing
)

// A peer is what was last heard from another dispatcher.
type peer struct {
	u    float64
	at   int64 // when it last told all; 0: never
	life byte
	held map[*worker]held
}

// held is what a dispatcher's jobs hold at a worker.
type held struct {
	slots, memory float64
	number        uint16 // of the message that told it
}

// shares says that the dispatchers tell each other what their jobs hold. What it costs grows
// with the square of their number, and many see too little of each worker to gain by it.
func (d *Dispatcher) shares() bool {
	return d.cfg.MayMessage && d.cfg.Dispatchers > 1 && !d.largeFleet()
}

// knows says that this dispatcher knows of all jobs at the workers.
func (d *Dispatcher) knows() bool { return d.cfg.Dispatchers == 1 || d.shares() }

func (w *worker) mark() uint32 { return uint32(w.hash >> 40) }

// count takes an attempt that begins (1) or has ended (-1) into what its worker holds.
func (d *Dispatcher) count(a *attempt, by float64) {
	w := a.worker
	w.own += by * a.slots
	w.since += by * a.slots
	w.memory += by * a.job.req.Memory
	w.jobs += int(by)
	d.inflight += by * a.slots
	if d.shares() && !w.untold {
		w.untold = true
		d.untold = append(d.untold, w)
	}
}

// tell sends the peers a message about some workers.
func (d *Dispatcher) tell(kind byte, workers []*worker, withNone bool) {
	d.told++
	data := binary.LittleEndian.AppendUint16([]byte{kind, d.life}, d.told)
	if kind == toldAll {
		data = binary.LittleEndian.AppendUint64(data, math.Float64bits(d.u))
	}
	for _, w := range workers {
		if n := len(data); w.jobs == 0 && !withNone || n > headSize+8+countSize*mostCounts {
			continue
		}
		slots, memory := w.own-w.others-w.theirs.slots, w.memory-w.theirs.memory
		data = binary.LittleEndian.AppendUint32(data, w.mark()|asByte(slots)<<24)
		data = append(data, byte(asByte(memory*memoryParts)))
	}
	d.actions = append(d.actions, Action{Kind: ActionMessage, To: -1, Data: data})
}

func asByte(x float64) uint32 { return uint32(min(max(math.Round(x), 0), 255)) }

// tellAll tells the peers u and what is held everywhere.
func (d *Dispatcher) tellAll() {
	var workers []*worker
	if d.shares() {
		workers = d.list
	}
	d.tell(toldAll, workers, false)
}

// tellChanges tells the peers what has changed since they were last told.
func (d *Dispatcher) tellChanges() {
	if len(d.untold) == 0 {
		return
	}
	d.tell(toldChanges, d.untold, true)
	for _, w := range d.untold {
		w.untold = false
	}
	d.untold = d.untold[:0]
}

func (d *Dispatcher) onMessage(from int, data []byte) {
	if from < 0 || from >= len(d.peers) || from == d.cfg.Index || len(data) < headSize {
		return
	}
	kind, life, number, rest := data[0], data[1], binary.LittleEndian.Uint16(data[2:]), data[headSize:]
	u := 0.0
	if kind == toldAll && len(rest) >= 8 {
		u, rest = math.Float64frombits(binary.LittleEndian.Uint64(rest)), rest[8:]
	} else if kind != toldChanges {
		return
	}
	if !(u >= 0) || len(rest)%countSize != 0 {
		return
	}
	p := &d.peers[from]
	if p.life != life {
		d.forgetHeld(p)
		p.life = life
	}
	if kind == toldAll {
		p.u, p.at = u, d.now
	}
	if !d.shares() {
		return
	}
	for _, w := range d.list {
		h, named := held{number: number}, kind == toldAll
		for c := rest; len(c) > 0; c = c[countSize:] {
			if x := binary.LittleEndian.Uint32(c); x&0xffffff == w.mark() {
				h.slots, h.memory, named = float64(x>>24), float64(c[4])/memoryParts, true
			}
		}
		if named {
			d.hears(p, w, h)
		}
	}
}

// hears counts what a peer holds at a worker, unless something newer was heard of it.
func (d *Dispatcher) hears(p *peer, w *worker, h held) {
	old, there := p.held[w]
	if there && int16(h.number-old.number) < 0 {
		return
	}
	w.own += h.slots - old.slots
	w.theirs.slots += h.slots - old.slots
	w.memory += h.memory - old.memory
	w.theirs.memory += h.memory - old.memory
	if p.held == nil {
		p.held = map[*worker]held{}
	}
	p.held[w] = h
	d.place(w)
}

// forgetHeld forgets what a peer holds.
func (d *Dispatcher) forgetHeld(p *peer) {
	for _, w := range d.list {
		if old, there := p.held[w]; there {
			d.hears(p, w, held{number: old.number})
		}
	}
	p.held = nil
}

// heardU is the mean of u here and at the peers that were lately heard of. One that fell
// silent holds nothing any more.
func (d *Dispatcher) heardU() float64 {
	sum, n := d.u, 1.0
	for i := range d.peers {
		p := &d.peers[i]
		if p.at != 0 && d.now-p.at < peerLasts {
			sum += p.u
			n++
		} else if p.held != nil {
			d.forgetHeld(p)
		}
	}
	return sum / n
}
