package gossip

// The last state received from the peers. Nothing is decided here.

const (
	second = int64(1e9)

	// PeerTimeout is how long a peer's state is valid after its last complete message, in nanoseconds.
	PeerTimeout = 3 * second
)

// A Table holds the last state received from the other dispatchers of a fleet. W identifies a worker. Methods
// with a parameter from, except IsPeer, panic if it is not the index of a dispatcher.
type Table[W comparable] struct {
	self  int
	peers []peer[W]
}

// A peer is the state received from one dispatcher.
type peer[W comparable] struct {
	admissionRate float64
	updatedAt     int64 // time of its last complete message; 0: none
	incarnation   byte
	usage         map[W]sequencedUsage
}

// A sequencedUsage is a usage at a worker with the number of its message.
type sequencedUsage struct {
	Usage
	sequence uint16 // of the message that it came with
}

// NewTable returns the table of the dispatcher with index self in a fleet of the given number of dispatchers.
func NewTable[W comparable](dispatchers, self int) Table[W] {
	return Table[W]{self: self, peers: make([]peer[W], dispatchers)}
}

// Len returns the number of dispatchers, including this one.
func (t *Table[W]) Len() int { return len(t.peers) }

// IsPeer reports whether from is the index of another dispatcher of the fleet.
func (t *Table[W]) IsPeer(from int) bool { return from >= 0 && from < len(t.peers) && from != t.self }

// Restarted reports whether a message has another incarnation than the last one of its sender, or than 0 if
// it is the sender's first.
func (t *Table[W]) Restarted(from int, m *Message) bool {
	return t.peers[from].incarnation != m.Incarnation
}

// Record stores a message's incarnation and, if it is complete, its admission rate and the time.
func (t *Table[W]) Record(from int, m *Message, now int64) {
	p := &t.peers[from]
	p.incarnation = m.Incarnation
	if m.Complete {
		p.admissionRate, p.updatedAt = m.AdmissionRate, now
	}
}

// RecordUsage stores a peer's usage at a worker and returns the change from the stored one, which may be
// zero, and true. It returns false, and stores nothing, if the stored usage has a newer sequence number;
// equal numbers are stored. Sequence numbers wrap around.
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

// ClearUsage removes a peer's usage at a worker and returns the change, or false if there was none.
func (t *Table[W]) ClearUsage(from int, w W) (change Usage, changed bool) {
	old, exists := t.peers[from].usage[w]
	if !exists {
		return Usage{}, false
	}
	delete(t.peers[from].usage, w)
	return Usage{Slots: 0 - old.Slots, Memory: 0 - old.Memory}, true
}

// DropUsage removes all usage of a peer. The caller clears it before with ClearUsage for each worker.
func (t *Table[W]) DropUsage(from int) { t.peers[from].usage = nil }

// Expired reports whether a peer has stored usage but sent no complete message within PeerTimeout.
func (t *Table[W]) Expired(from int, now int64) bool {
	p := &t.peers[from]
	return p.usage != nil && !p.alive(now)
}

// alive reports whether the peer sent a complete message within PeerTimeout.
func (p *peer[W]) alive(now int64) bool { return p.updatedAt != 0 && now-p.updatedAt < PeerTimeout }

// MeanAdmissionRate returns the mean of own, this dispatcher's admission rate, and the rates of the peers
// that sent a complete message within PeerTimeout; own if there are none.
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
