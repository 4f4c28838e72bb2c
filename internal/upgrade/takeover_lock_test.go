package upgrade

import (
	"encoding/binary"
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

const address = "127.0.0.1:3000"

func acquire(t *testing.T, directory string) *TakeoverLock {
	t.Helper()
	p, err := AcquireTakeover(directory, address, 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Release)
	return p
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// Two processes hold the two places, a third gets none, and the second moves up when the first leaves.
func TestTakeoverLock(t *testing.T) {
	directory := t.TempDir()
	first := acquire(t, directory)
	check(t, "the first succeeds another", first.IsSuccessor(), false)
	check(t, "the first is succeeded", first.HasSuccessor(), false)

	second := acquire(t, directory)
	check(t, "the second succeeds another", second.IsSuccessor(), true)
	check(t, "the first has a successor", first.HasSuccessor(), true)
	check(t, "which listens", first.SuccessorListening(), false)
	if _, err := AcquireTakeover(directory, address, 0, time.Millisecond); !errors.Is(err, ErrTakeoverInProgress) {
		t.Errorf("a third place: %v, want %v", err, ErrTakeoverInProgress)
	}
	if err := second.AnnounceListening(); err != nil {
		t.Fatal(err)
	}
	check(t, "the successor listens", first.SuccessorListening(), true)
	check(t, "the second has a successor itself", second.HasSuccessor() || second.SuccessorListening(), false)
	if moved, err := second.Promote(); moved || err != nil {
		t.Errorf("moved up beside the first: %v, %v", moved, err)
	}

	first.Release()
	if moved, err := second.Promote(); !moved || err != nil {
		t.Fatalf("not moved up: %v, %v", moved, err)
	}
	check(t, "the second succeeds another", second.IsSuccessor(), false)
	check(t, "the second is succeeded", second.HasSuccessor() || second.SuccessorListening(), false)
	third := acquire(t, directory)
	check(t, "the third succeeds another", third.IsSuccessor(), true)
	check(t, "the second has a successor", second.HasSuccessor(), true)
}

// A successor that ends before it listens leaves the first as it was.
func TestSuccessorStops(t *testing.T) {
	directory := t.TempDir()
	first, second := acquire(t, directory), acquire(t, directory)
	second.AnnounceListening()
	second.Release()
	check(t, "a successor is there", first.HasSuccessor() || first.SuccessorListening(), false)
	check(t, "the next one succeeds", acquire(t, directory).IsSuccessor(), true)
}

// Schedulers with other addresses have places of their own.
func TestOtherAddress(t *testing.T) {
	directory := t.TempDir()
	acquire(t, directory)
	other, err := AcquireTakeover(directory, "127.0.0.2:3000", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Release()
	check(t, "it succeeds another", other.IsSuccessor(), false)
}

func TestDirectoryMissing(t *testing.T) {
	if _, err := AcquireTakeover(t.TempDir()+"/none", address, 0, 0); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v, want %v", err, os.ErrNotExist)
	}
}

type savedState struct{ Figures []int }

// What is saved is read again, and what is torn, spoilt or of another form is refused.
func TestState(t *testing.T) {
	directory := t.TempDir()
	older, newer := acquire(t, directory), acquire(t, directory)
	var got savedState
	if err := newer.LoadState(&got); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no state: %v, want %v", err, os.ErrNotExist)
	}
	older.SaveState(savedState{[]int{9}})
	if err := older.SaveState(savedState{[]int{1, 2, 3}}); err != nil {
		t.Fatal(err)
	}
	if err := newer.LoadState(&got); err != nil || len(got.Figures) != 3 {
		t.Fatalf("read %v, %v", got, err)
	}
	whole, err := os.ReadFile(older.stateFile().Path)
	if err != nil {
		t.Fatal(err)
	}
	const lengthBytes = 4
	length := len(stateMagic)
	spoil := func(at int, b byte) []byte {
		data := append([]byte(nil), whole...)
		data[at] ^= b
		return data
	}
	for name, data := range map[string][]byte{
		"empty":           {},
		"torn":            whole[:len(whole)-1],
		"longer":          append(append([]byte(nil), whole...), 0),
		"no length":       whole[:length],
		"foreign":         []byte(strings.Repeat("x", len(whole))),
		"another version": spoil(length-2, 3),
		"length":          spoil(length+lengthBytes-1, 1),
		"bit flip":        spoil(length+lengthBytes+3, 4),
		"checksum":        spoil(len(whole)-1, 1),
		"too long":        binary.BigEndian.AppendUint32(make([]byte, maxStateSize), 0),
	} {
		if err := os.WriteFile(older.stateFile().Path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := newer.LoadState(&got); !errors.Is(err, ErrStateUnreadable) {
			t.Errorf("%s: %v, want %v", name, err, ErrStateUnreadable)
		}
	}
	newer.DiscardState()
	if err := newer.LoadState(&got); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("discarded: %v, want %v", err, os.ErrNotExist)
	}
}
