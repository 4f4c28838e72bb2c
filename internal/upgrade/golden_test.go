package upgrade

import (
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/golden"
)

// Two processes of different versions must agree on the names of the files, the locked bytes, and the format
// of the state file.
const (
	lockName  = "foxlift-127.0.0.1_3000.lock"
	stateName = lockName + ".state"
)

// TestStateFile compares the bytes of a state file with a golden file, and loads the golden file as a state
// that another version has written.
func TestStateFile(t *testing.T) {
	var full core.State
	golden.Fill(&full)
	directory := t.TempDir()
	if err := acquire(t, directory).SaveState(&full); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(directory, stateName))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "state", written)

	stored, err := os.ReadFile("testdata/state")
	if err != nil {
		t.Fatal(err)
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, stateName), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	var got core.State
	if err := acquire(t, other).LoadState(&got); err != nil || !reflect.DeepEqual(got, full) {
		t.Errorf("LoadState() reads %+v, %v; want %+v", got, err, full)
	}
}

// TestLockedBytes checks which bytes of the file each process locks, through another descriptor as a process
// of another version would see them.
func TestLockedBytes(t *testing.T) {
	const serving, successor, listening = 0, 1, 2
	directory := t.TempDir()
	first := acquire(t, directory)
	other, err := os.OpenFile(filepath.Join(directory, lockName), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	locked := func(what string, want []bool) {
		t.Helper()
		for at := range want {
			r := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart, Start: int64(at), Len: 1}
			if err := unix.FcntlFlock(other.Fd(), unix.F_OFD_GETLK, &r); err != nil {
				t.Fatal(err)
			}
			if got := r.Type != unix.F_UNLCK; got != want[at] {
				t.Errorf("%s: byte %d is locked: %v, want %v", what, at, got, want[at])
			}
		}
	}
	locked("one process", []bool{serving: true, successor: false, listening: false})
	second := acquire(t, directory)
	locked("two processes", []bool{serving: true, successor: true, listening: false})
	if err := second.AnnounceListening(); err != nil {
		t.Fatal(err)
	}
	locked("the second listens", []bool{serving: true, successor: true, listening: true})
	first.Release()
	if _, err := second.Promote(); err != nil {
		t.Fatal(err)
	}
	locked("the second serves", []bool{serving: true, successor: false, listening: false})
}
