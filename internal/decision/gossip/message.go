// Package gossip implements the state exchange between the dispatchers of one fleet: the message format
// (Message), sequence numbers (Sender), and the last state received from every peer (Table).
//
// Once a second a dispatcher sends a complete message: its admission rate and, with few dispatchers, the
// usage of its jobs at as many workers as fit. At the end of each step it sends the usage of the workers
// where it changed. All values are absolute, so the next message corrects lost, late, duplicated or reordered
// ones.
//
// Nothing is decided here.
package gossip

import (
	"encoding/binary"
	"math"

	"github.com/vatu-meals/foxlift/internal/saturate"
)

// The message format, little endian: a header (kind, incarnation, sequence), the admission rate in a complete
// message, and the usage of any number of workers (tag, slots, memory).
const (
	kindDelta    = 1
	kindComplete = 2
	headerSize   = 4
	rateSize     = 8
	usageSize    = 5 // three bytes of the worker's hash, one of slots, one of memory
	tagMask      = 1<<24 - 1
	memoryScale  = 32 // encoded memory is in 1/32 of a unit of memory

	// sizeLimit is the size in bytes above which AddUsage adds no more workers, so that a message and what a
	// host adds around it fit into 256 bytes.
	sizeLimit = headerSize + rateSize + 40*usageSize
)

// A Usage is the slots and the memory that a dispatcher's jobs occupy at a worker.
type Usage struct{ Slots, Memory float64 }

// A WorkerUsage is the usage at the worker with a tag.
type WorkerUsage struct {
	Tag uint32 // see TagOf
	Usage
}

// TagOf returns the tag that identifies a worker in messages: the highest 24 bits of the hash of its ID.
func TagOf(hash uint64) uint32 { return uint32(hash >> 40) }

// A Message carries one dispatcher's usage at workers and, if complete, its admission rate.
type Message struct {
	Complete      bool    // has the admission rate, and the usage at workers not listed is zero
	Incarnation   byte    // of the sending process, new with each start
	Sequence      uint16  // number of the message; wraps around
	AdmissionRate float64 // of a complete message, else not encoded
	Usages        []WorkerUsage
}

// size returns the length of the encoded message in bytes.
func (m *Message) size() int {
	n := headerSize + usageSize*len(m.Usages)
	if m.Complete {
		n += rateSize
	}
	return n
}

// AddUsage adds a worker's usage, or drops it if the message is already longer than sizeLimit.
func (m *Message) AddUsage(tag uint32, u Usage) {
	if m.size() <= sizeLimit {
		m.Usages = append(m.Usages, WorkerUsage{Tag: tag, Usage: u})
	}
}

// Encode returns the encoded message. Slots are rounded to whole ones from 0 to 255, and memory to multiples
// of 1/memoryScale from 0 to 255/memoryScale.
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

// roundToByte rounds x to the nearest integer from 0 to 255.
func roundToByte(x float64) uint32 { return uint32(saturate.Int64(min(max(math.Round(x), 0), 255))) }

// Decode decodes data into m, reusing the space of m.Usages. It reports whether the message is valid: of a
// known kind, with a whole number of usages and no negative or NaN rate. If not, the contents of m are
// undefined.
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
	if !(m.AdmissionRate >= 0) || len(rest)%usageSize != 0 { // also rejects NaN
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

// UsageOf returns the usage at the worker with a tag, and whether the message includes it. A complete message
// includes every worker: the usage is zero at those not listed.
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

// NewSender returns the sender of a newly started process.
func NewSender(incarnation byte) Sender { return Sender{incarnation: incarnation} }

// Incarnation returns the number that identifies this run of the process to its peers.
func (s *Sender) Incarnation() byte { return s.incarnation }

// Begin resets m to the next message of the sender, without any usage.
func (s *Sender) Begin(m *Message, complete bool, admissionRate float64) {
	s.sequence++
	*m = Message{
		Complete: complete, Incarnation: s.incarnation, Sequence: s.sequence, AdmissionRate: admissionRate,
		Usages: m.Usages[:0],
	}
}
