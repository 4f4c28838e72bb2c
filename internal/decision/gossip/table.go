package gossip

// What was last heard of the peers. Nothing is decided here.

const (
	second = int64(1e9)

	// PeerTimeout is how long a peer counts that is not heard of; then it holds nothing.
	PeerTimeout = 3 * second
)

// A Table is what was last heard from the other dispatchers of a fleet, whose workers are of type W.
type Table[W comparable] struct {
	self  int
	peers []peer[W]
}

type peer[W comparable] struct {
	admissionRate float64
	updatedAt     int64 // when it last told all; 0: never
	incarnation   byte
	usage         map[W]sequencedUsage
}

type sequencedUsage struct {
	Usage
	sequence uint16 // of the message that told it
}

// NewTable returns the table of one of so many dispatchers, by its index.
func NewTable[W comparable](dispatchers, self int) Table[W] {
	return Table[W]{self: self, peers: make([]peer[W], dispatchers)}
}

// Len returns the number of dispatchers.
func (t *Table[W]) Len() int { return len(t.peers) }

// IsPeer reports whether there is another dispatcher with such an index.
func (t *Table[W]) IsPeer(from int) bool { return from >= 0 && from < len(t.peers) && from != t.self }

// Restarted reports whether a message is of another incarnation of its sender than the last one.
func (t *Table[W]) Restarted(from int, m *Message) bool {
	return t.peers[from].incarnation != m.Incarnation
}

// Record notes a message's sender and admission rate.
func (t *Table[W]) Record(from int, m *Message, now int64) {
	p := &t.peers[from]
	p.incarnation = m.Incarnation
	if m.Complete {
		p.admissionRate, p.updatedAt = m.AdmissionRate, now
	}
}

// RecordUsage notes what a peer holds at a worker, unless something newer was heard of it. It returns
// by how much that has changed.
func (t *Table[W]) RecordUsage(from int, w W, u Usage, sequence uint16) (change Usage, changed bool) {
	p := &t.peers[from]
	old, exists := p.usage[w]
	if exists && int16(sequence-old.sequence) < 0 {
		return Usage{}, false
	}
	if p.usage == nil {
		p.usage = map[W]sequencedUsage{}
	}
	p.usage[w] = sequencedUsage{u, sequence}
	return Usage{Slots: u.Slots - old.Slots, Memory: u.Memory - old.Memory}, true
}

// ClearUsage lets a peer hold nothing at a worker. It returns by how much that has changed.
func (t *Table[W]) ClearUsage(from int, w W) (change Usage, changed bool) {
	old, exists := t.peers[from].usage[w]
	if !exists {
		return Usage{}, false
	}
	delete(t.peers[from].usage, w)
	return Usage{Slots: 0 - old.Slots, Memory: 0 - old.Memory}, true
}

// Forget drops all that a peer holds. What it held is to be cleared before.
func (t *Table[W]) DropUsage(from int) { t.peers[from].usage = nil }

// Silent reports whether a peer that holds something was not heard of lately.
func (t *Table[W]) Expired(from int, now int64) bool {
	p := &t.peers[from]
	return p.usage != nil && !p.alive(now)
}

// alive reports whether the peer was lately heard of.
func (p *peer[W]) alive(now int64) bool { return p.updatedAt != 0 && now-p.updatedAt < PeerTimeout }

// MeanAdmissionRate returns the mean of this dispatcher's admission rate and those of the peers that were
// lately heard of.
func (t *Table[W]) MeanAdmissionRate(own float64, now int64) float64 {
	sum, n := own, 1.0
	for i := range t.peers {
		if p := &t.peers[i]; p.alive(now) {
			sum += p.admissionRate
			n++
		}
	}
	return sum / n
}
