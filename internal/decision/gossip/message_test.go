package gossip

import (
	"bytes"
	"math"
	"slices"
	"testing"
)

// The encoding must not change: other versions of the program decode it.
func TestMessageBytes(t *testing.T) {
	s := NewSender(0xab)
	var m Message
	s.Begin(&m, true, 2.5)
	m.AddUsage(0x123456, Usage{Slots: 3, Memory: 0.5})
	m.AddUsage(0xfedcba, Usage{Slots: 300, Memory: -1})
	want := []byte{2, 0xab, 1, 0, 0, 0, 0, 0, 0, 0, 4, 0x40, 0x56, 0x34, 0x12, 3, 16, 0xba, 0xdc, 0xfe, 255, 0}
	if got := m.Encode(); !bytes.Equal(got, want) {
		t.Errorf("Encode() of a complete message = % x, want % x", got, want)
	}
	s.Begin(&m, false, 2.5)
	m.AddUsage(1, Usage{Slots: 1})
	if got, want := m.Encode(), []byte{1, 0xab, 2, 0, 1, 0, 0, 1, 0}; !bytes.Equal(got, want) {
		t.Errorf("Encode() of a delta = % x, want % x", got, want)
	}
}

// Encode must bound the length of a message, and Decode must return what was encoded.
func TestMessageRoundTrip(t *testing.T) {
	for _, complete := range []bool{false, true} {
		s := NewSender(7)
		var m, got Message
		s.Begin(&m, complete, 31)
		for tag := range uint32(100) {
			m.AddUsage(tag, Usage{Slots: float64(tag), Memory: float64(tag) / memoryScale})
		}
		data := m.Encode()
		if len(data) != m.size() || len(data) > 256-12-usageSize {
			t.Errorf("Encode() returned %d bytes, want size() %d and at most %d", len(data), m.size(), 256-12-usageSize)
		}
		if !got.Decode(data) || !slices.Equal(got.Usages, m.Usages) || got.Complete != complete ||
			got.Incarnation != 7 || got.Sequence != 1 {
			t.Errorf("Decode() read %+v, want %+v", got, m)
		}
		if u, included := got.UsageOf(9); u.Slots != 9 || !included {
			t.Errorf("UsageOf(9) = %+v, %v for a listed worker, want 9 slots, true", u, included)
		}
		if u, included := got.UsageOf(99); u.Slots != 0 || included != complete {
			t.Errorf("UsageOf(99) = %+v, %v for a worker not listed, want 0 slots, %v", u, included, complete)
		}
	}
}

// Decode must reject truncated messages, unknown kinds and invalid rates.
func TestDecodeRejectsInvalidMessages(t *testing.T) {
	valid := Message{Complete: true, AdmissionRate: 1}
	notANumber, negative := valid, valid
	notANumber.AdmissionRate, negative.AdmissionRate = math.NaN(), -1
	for name, data := range map[string][]byte{
		"empty":             {},
		"half a header":     {1, 2, 3},
		"unknown kind":      {3, 0, 0, 0},
		"half a rate":       valid.Encode()[:headerSize+rateSize-1],
		"half a usage":      {1, 0, 0, 0, 9, 9},
		"rate is no number": notANumber.Encode(),
		"negative rate":     negative.Encode(),
	} {
		var m Message
		if m.Decode(data) {
			t.Errorf("%s: Decode() = true with %+v, want false", name, m)
		}
	}
}

// A peer's usage must be counted once, by the newest sequence number, and its state only until PeerTimeout.
func TestTable(t *testing.T) {
	table := NewTable[string](3, 1)
	for from, want := range map[int]bool{-1: false, 0: true, 1: false, 2: true, 3: false} {
		if table.IsPeer(from) != want {
			t.Errorf("IsPeer(%d) = %v, want %v", from, !want, want)
		}
	}
	m := Message{Complete: true, Incarnation: 5, AdmissionRate: 7}
	if !table.Restarted(0, &m) {
		t.Error("Restarted() = false for the first message, want true")
	}
	if table.Record(0, &m, second); table.Restarted(0, &m) {
		t.Error("Restarted() = true for the next message of the same incarnation, want false")
	}
	if mean := table.MeanAdmissionRate(31, second); mean != 19 {
		t.Errorf("MeanAdmissionRate() = %v, want 19", mean)
	}
	for _, c := range []struct {
		slots    float64
		sequence uint16
		change   float64
		changed  bool
	}{{2, 65535, 2, true}, {5, 1, 3, true}, {9, 65535, 0, false}, {4, 1, -1, true}} {
		change, changed := table.RecordUsage(0, "w", Usage{Slots: c.slots}, c.sequence)
		if change.Slots != c.change || changed != c.changed {
			t.Errorf("RecordUsage() = %v, %v, want %v, %v for %+v", change.Slots, changed, c.change, c.changed, c)
		}
	}
	if table.Expired(0, second) || !table.Expired(0, second+PeerTimeout) {
		t.Error("Expired() is not false before PeerTimeout and true from then on")
	}
	if mean := table.MeanAdmissionRate(31, second+PeerTimeout); mean != 31 {
		t.Errorf("MeanAdmissionRate() = %v with an expired peer, want 31", mean)
	}
	if change, changed := table.ClearUsage(0, "w"); change.Slots != -4 || !changed {
		t.Errorf("ClearUsage() = %v, %v, want -4, true", change.Slots, changed)
	}
	if table.DropUsage(0); table.Expired(0, 1<<62) {
		t.Error("Expired() = true after DropUsage(), want false")
	}
}

// Decode must reject any input that Encode would not write for the decoded message.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{kindDelta, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Add((&Message{Complete: true, AdmissionRate: 2.5, Usages: []WorkerUsage{{Tag: 9, Usage: Usage{1, 2}}}}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if m.Decode(data) && !bytes.Equal(m.Encode(), data) {
			t.Errorf("Decode(% x) read %+v, which Encode() writes as % x", data, m, m.Encode())
		}
	})
}
