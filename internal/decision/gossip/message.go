// Package gossip is what the dispatchers of one fleet tell each other: the messages' form (Message), their
// numbering (Sender), and what was last heard of every peer (Table).
//
// Once a second a dispatcher tells its admission rate, with what its jobs hold at each worker; of the
// workers where that has changed, the same at the end of each step. All of it is absolute: what is lost,
// late, doubled or in another order is made good by the next message. Nothing is decided here.
package gossip

import (
	"encoding/binary"
	"math"
)

// The form of a message, little endian: a header (kind, incarnation, sequence), the admission rate if it
// is complete, and the usage of any number of workers (tag, slots, memory).
const (
	kindDelta    = 1
	kindComplete = 2
	headerSize   = 4
	rateSize     = 8
	usageSize    = 5 // three bytes of the worker's hash, the slots, the memory in units
	tagMask      = 1<<24 - 1
	memoryScale  = 32

	// A message that is longer gets no more workers: 256 bytes have room for what a host puts around it.
	sizeLimit = headerSize + rateSize + 40*usageSize
)

// A Usage is what a dispatcher's jobs hold at a worker.
type Usage struct{ Slots, Memory float64 }

// A WorkerUsage is the usage of the worker with a tag.
type WorkerUsage struct {
	Tag uint32 // see TagOf
	Usage
}

// TagOf returns what a worker with such a hash of its ID is known by in messages.
func TagOf(hash uint64) uint32 { return uint32(hash >> 40) }

// A Message tells of one dispatcher's admission rate and usage.
type Message struct {
	Complete      bool    // all that the dispatcher's jobs hold, with its admission rate
	Incarnation   byte    // of the process, new with each start
	Sequence      uint16  // number of the message
	AdmissionRate float64 // of a complete one
	Usages        []WorkerUsage
}

// size returns the length of the encoded message.
func (m *Message) size() int {
	n := headerSize + usageSize*len(m.Usages)
	if m.Complete {
		n += rateSize
	}
	return n
}

// AddUsage adds a worker's usage, if there is still room for it.
func (m *Message) AddUsage(tag uint32, u Usage) {
	if m.size() <= sizeLimit {
		m.Usages = append(m.Usages, WorkerUsage{Tag: tag, Usage: u})
	}
}

// Encode returns the message's bytes. Slots and memory are rounded, to 255 units at most.
func (m *Message) Encode() []byte {
	kind := byte(kindDelta)
	if m.Complete {
		kind = kindComplete
	}
	data := append(make([]byte, 0, m.size()), kind, m.Incarnation)
	data = binary.LittleEndian.AppendUint16(data, m.Sequence)
	if m.Complete {
		data = binary.LittleEndian.AppendUint64(data, math.Float64bits(m.AdmissionRate))
	}
	for i := range m.Usages {
		u := &m.Usages[i]
		data = binary.LittleEndian.AppendUint32(data, u.Tag|roundToByte(u.Slots)<<24)
		data = append(data, byte(roundToByte(u.Memory*memoryScale)))
	}
	return data
}

// toByte rounds a count to what a byte holds.
func roundToByte(x float64) uint32 { return uint32(min(max(math.Round(x), 0), 255)) }

// Decode reads a message into m, whose Usages are overwritten. It reports whether the message is valid.
func (m *Message) Decode(data []byte) bool {
	if len(data) < headerSize {
		return false
	}
	kind, rest := data[0], data[headerSize:]
	*m = Message{
		Complete: kind == kindComplete, Incarnation: data[1], Sequence: binary.LittleEndian.Uint16(data[2:]),
		Usages: m.Usages[:0],
	}
	switch {
	case kind == kindComplete && len(rest) >= rateSize:
		m.AdmissionRate = math.Float64frombits(binary.LittleEndian.Uint64(rest))
		rest = rest[rateSize:]
	case kind != kindDelta:
		return false
	}
	if !(m.AdmissionRate >= 0) || len(rest)%usageSize != 0 { // it may be no number
		return false
	}
	for ; len(rest) > 0; rest = rest[usageSize:] {
		tagged := binary.LittleEndian.Uint32(rest)
		m.Usages = append(m.Usages, WorkerUsage{
			Tag: tagged & tagMask, Usage: Usage{Slots: float64(tagged >> 24), Memory: float64(rest[4]) / memoryScale},
		})
	}
	return true
}

// UsageOf returns what the message tells of the worker with a tag: nothing is held where a complete one
// does not name it.
func (m *Message) UsageOf(tag uint32) (u Usage, included bool) {
	included = m.Complete
	for i := range m.Usages {
		if m.Usages[i].Tag == tag {
			u, included = m.Usages[i].Usage, true
		}
	}
	return u, included
}

// A Sender numbers the messages of one incarnation of a dispatcher.
type Sender struct {
	incarnation byte
	sequence    uint16
}

// NewSender returns the sender of a process that has just started.
func NewSender(incarnation byte) Sender { return Sender{incarnation: incarnation} }

// Incarnation returns the number by which peers know this run of the process.
func (s *Sender) Incarnation() byte { return s.incarnation }

// Begin makes m the next message, without any usage.
func (s *Sender) Begin(m *Message, complete bool, admissionRate float64) {
	s.sequence++
	*m = Message{
		Complete: complete, Incarnation: s.incarnation, Sequence: s.sequence, AdmissionRate: admissionRate,
		Usages: m.Usages[:0],
	}
}
