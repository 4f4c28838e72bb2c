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

// acquire acquires the takeover lock of address without a retry, and releases it at the end of the test.
func acquire(t *testing.T, directory string) *TakeoverLock {
	t.Helper()
	lock, err := AcquireTakeover(directory, address, 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(lock.Release)
	return lock
}

// check reports an error if a value differs from the wanted one.
func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// The first process serves and the second is its successor, which is promoted only after the first has
// released its lock. A third process cannot acquire the lock while two hold it.
func TestTakeoverLock(t *testing.T) {
	directory := t.TempDir()
	first := acquire(t, directory)
	check(t, "the first is a successor", first.IsSuccessor(), false)
	check(t, "the first has a successor", first.HasSuccessor(), false)

	second := acquire(t, directory)
	check(t, "the second is a successor", second.IsSuccessor(), true)
	check(t, "the first has a successor", first.HasSuccessor(), true)
	check(t, "the successor listens", first.SuccessorListening(), false)
	if _, err := AcquireTakeover(directory, address, 0, time.Millisecond); !errors.Is(err, ErrTakeoverInProgress) {
		t.Errorf("AcquireTakeover() of a third process: error %v, want %v", err, ErrTakeoverInProgress)
	}
	if err := second.AnnounceListening(); err != nil {
		t.Fatal(err)
	}
	check(t, "the successor listens", first.SuccessorListening(), true)
	check(t, "the second has a successor", second.HasSuccessor() || second.SuccessorListening(), false)
	if promoted, err := second.Promote(); promoted || err != nil {
		t.Errorf("Promote() while the first process serves = %v, %v; want false", promoted, err)
	}

	first.Release()
	if promoted, err := second.Promote(); !promoted || err != nil {
		t.Fatalf("Promote() after the first process released its lock = %v, %v; want true", promoted, err)
	}
	check(t, "the second is a successor", second.IsSuccessor(), false)
	check(t, "the second has a successor", second.HasSuccessor() || second.SuccessorListening(), false)
	third := acquire(t, directory)
	check(t, "the third is a successor", third.IsSuccessor(), true)
	check(t, "the second has a successor", second.HasSuccessor(), true)
}

// After a successor has released its lock, the serving process has no successor, and another process can
// become its successor.
func TestSuccessorStops(t *testing.T) {
	directory := t.TempDir()
	first, second := acquire(t, directory), acquire(t, directory)
	if err := second.AnnounceListening(); err != nil {
		t.Fatal(err)
	}
	second.Release()
	check(t, "the first has a successor", first.HasSuccessor() || first.SuccessorListening(), false)
	check(t, "the next one is a successor", acquire(t, directory).IsSuccessor(), true)
}

// A released lock returns os.ErrClosed, and a second Release does not affect the lock of another process.
func TestReleased(t *testing.T) {
	directory := t.TempDir()
	first, second := acquire(t, directory), acquire(t, directory)
	second.Release()
	second.Release()
	if promoted, err := second.Promote(); promoted || !errors.Is(err, os.ErrClosed) {
		t.Errorf("Promote() after Release() = %v, %v; want false, %v", promoted, err, os.ErrClosed)
	}
	check(t, "the first is a successor", first.IsSuccessor(), false)
}

// Schedulers with different addresses in one directory have separate takeover locks.
func TestOtherAddress(t *testing.T) {
	directory := t.TempDir()
	acquire(t, directory)
	other, err := AcquireTakeover(directory, "127.0.0.2:3000", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Release()
	check(t, "it is a successor", other.IsSuccessor(), false)
}

// AcquireTakeover returns the error of a directory that does not exist.
func TestDirectoryMissing(t *testing.T) {
	if _, err := AcquireTakeover(t.TempDir()+"/none", address, 0, 0); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("AcquireTakeover() without a directory: error %v, want %v", err, os.ErrNotExist)
	}
}

type savedState struct{ Figures []int }

// LoadState loads the state that was saved last. A state file that is truncated or corrupt, or has another
// format or version, is unreadable.
func TestState(t *testing.T) {
	directory := t.TempDir()
	predecessor, successor := acquire(t, directory), acquire(t, directory)
	var got savedState
	if err := successor.LoadState(&got); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("LoadState() without a state: error %v, want %v", err, os.ErrNotExist)
	}
	for _, figures := range [][]int{{9}, {1, 2, 3}} {
		if err := predecessor.SaveState(savedState{figures}); err != nil {
			t.Fatal(err)
		}
	}
	if err := successor.LoadState(&got); err != nil || len(got.Figures) != 3 {
		t.Fatalf("LoadState() reads %v, %v; want 3 figures", got, err)
	}
	intact, err := os.ReadFile(predecessor.stateFile().Path)
	if err != nil {
		t.Fatal(err)
	}
	const lengthBytes = 4
	lengthOffset := len(stateMagic)
	corrupt := func(at int, b byte) []byte {
		data := append([]byte(nil), intact...)
		data[at] ^= b
		return data
	}
	for name, data := range map[string][]byte{
		"empty":           {},
		"truncated":       intact[:len(intact)-1],
		"longer":          append(append([]byte(nil), intact...), 0),
		"no length":       intact[:lengthOffset],
		"foreign":         []byte(strings.Repeat("x", len(intact))),
		"another version": corrupt(lengthOffset-2, 3),
		"length":          corrupt(lengthOffset+lengthBytes-1, 1),
		"bit flip":        corrupt(lengthOffset+lengthBytes+3, 4),
		"checksum":        corrupt(len(intact)-1, 1),
		"too long":        binary.BigEndian.AppendUint32(make([]byte, maxStateSize), 0),
	} {
		if err := os.WriteFile(predecessor.stateFile().Path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := successor.LoadState(&got); !errors.Is(err, ErrStateUnreadable) {
			t.Errorf("%s: LoadState() error %v, want %v", name, err, ErrStateUnreadable)
		}
	}
	successor.DiscardState()
	if err := successor.LoadState(&got); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("LoadState() after DiscardState(): error %v, want %v", err, os.ErrNotExist)
	}
}
