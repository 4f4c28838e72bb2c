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

func take(t *testing.T, directory string) *TakeoverLock {
	t.Helper()
	p, err := AcquireTakeover(directory, address, 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Leave)
	return p
}

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// Two processes hold the two places, a third gets none, and the second moves up when the first leaves.
func TestPlaces(t *testing.T) {
	directory := t.TempDir()
	first := take(t, directory)
	check(t, "the first succeeds another", first.Successor(), false)
	check(t, "the first is succeeded", first.Succeeding(), false)

	second := take(t, directory)
	check(t, "the second succeeds another", second.Successor(), true)
	check(t, "the first has a successor", first.Succeeding(), true)
	check(t, "which listens", first.Succeeded(), false)
	if _, err := AcquireTakeover(directory, address, 0, time.Millisecond); !errors.Is(err, ErrTakeoverInProgress) {
		t.Errorf("a third place: %v, want %v", err, ErrTakeoverInProgress)
	}
	if err := second.Announce(); err != nil {
		t.Fatal(err)
	}
	check(t, "the successor listens", first.Succeeded(), true)
	check(t, "the second has a successor itself", second.Succeeding() || second.Succeeded(), false)
	if moved, err := second.Promote(); moved || err != nil {
		t.Errorf("moved up beside the first: %v, %v", moved, err)
	}

	first.Leave()
	if moved, err := second.Promote(); !moved || err != nil {
		t.Fatalf("not moved up: %v, %v", moved, err)
	}
	check(t, "the second succeeds another", second.Successor(), false)
	check(t, "the second is succeeded", second.Succeeding() || second.Succeeded(), false)
	third := take(t, directory)
	check(t, "the third succeeds another", third.Successor(), true)
	check(t, "the second has a successor", second.Succeeding(), true)
}

// A successor that ends before it listens leaves the first as it was.
func TestSuccessorEnds(t *testing.T) {
	directory := t.TempDir()
	first, second := take(t, directory), take(t, directory)
	second.Announce()
	second.Leave()
	check(t, "a successor is there", first.Succeeding() || first.Succeeded(), false)
	check(t, "the next one succeeds", take(t, directory).Successor(), true)
}

// Schedulers with other addresses have places of their own.
func TestOtherAddress(t *testing.T) {
	directory := t.TempDir()
	take(t, directory)
	other, err := AcquireTakeover(directory, "127.0.0.2:3000", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Leave()
	check(t, "it succeeds another", other.Successor(), false)
}

func TestDirectoryMissing(t *testing.T) {
	if _, err := AcquireTakeover(t.TempDir()+"/none", address, 0, 0); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v, want %v", err, os.ErrNotExist)
	}
}

type learned struct{ Figures []int }

// What is saved is read again, and what is torn, spoilt or of another form is refused.
func TestState(t *testing.T) {
	directory := t.TempDir()
	older, newer := take(t, directory), take(t, directory)
	var got learned
	if err := newer.Load(&got); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no state: %v, want %v", err, os.ErrNotExist)
	}
	older.Save(learned{[]int{9}})
	if err := older.Save(learned{[]int{1, 2, 3}}); err != nil {
		t.Fatal(err)
	}
	if err := newer.Load(&got); err != nil || len(got.Figures) != 3 {
		t.Fatalf("read %v, %v", got, err)
	}
	whole, err := os.ReadFile(older.state().Path)
	if err != nil {
		t.Fatal(err)
	}
	const lengthBytes = 4
	length := len(stateMark)
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
		"too long":        binary.BigEndian.AppendUint32(make([]byte, stateMost), 0),
	} {
		if err := os.WriteFile(older.state().Path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := newer.Load(&got); !errors.Is(err, ErrState) {
			t.Errorf("%s: %v, want %v", name, err, ErrState)
		}
	}
	newer.Discard()
	if err := newer.Load(&got); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("discarded: %v, want %v", err, os.ErrNotExist)
	}
}
