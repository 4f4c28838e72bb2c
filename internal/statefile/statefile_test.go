package statefile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Whatever byte of a file is cut off, flipped or added, the file is refused.
func TestCorruptFilesAreUnreadable(t *testing.T) {
	f := File{Path: filepath.Join(t.TempDir(), "value"), Magic: "test 1\n", MaxSize: 1 << 10}
	var got []string
	if err := f.Read(&got); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
	if err := f.Write([]string{"a", "b"}); err != nil {
		t.Fatal(err)
	}
	if err := f.Read(&got); err != nil || len(got) != 2 {
		t.Fatalf("%v, %v", got, err)
	}
	whole, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(what string, at int, data []byte) {
		t.Helper()
		if err := os.WriteFile(f.Path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := f.Read(&got); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%s at %d: %v", what, at, err)
		}
	}
	for at := range whole {
		refused("torn", at, whole[:at])
		for bit := range 8 {
			data := append([]byte(nil), whole...)
			data[at] ^= 1 << bit
			refused("flipped", at, data)
		}
	}
	refused("longer", len(whole), append(append([]byte(nil), whole...), 0))
	refused("too long", f.MaxSize, make([]byte, f.MaxSize+1))
}

// A value that cannot be written leaves the one before, and nothing beside it.
func TestFailedWritePreservesOldValue(t *testing.T) {
	dir := t.TempDir()
	f := File{Path: filepath.Join(dir, "value"), Magic: "test 1\n", MaxSize: 64, Sync: true}
	if err := f.Write("old"); err != nil {
		t.Fatal(err)
	}
	if err := f.Write(string(make([]byte, 100))); err == nil {
		t.Error("a value over the bound is written")
	}
	if err := f.Write(func() {}); err == nil {
		t.Error("a value that has no form is written")
	}
	if err := (File{Path: filepath.Join(dir, "no", "folder"), MaxSize: 64}).Write("new"); err == nil {
		t.Error("written into a folder that is not there")
	}
	var got string
	if err := f.Read(&got); err != nil || got != "old" {
		t.Errorf("%q, %v", got, err)
	}
	f.Remove()
	if left, err := os.ReadDir(dir); err != nil || len(left) != 0 {
		t.Errorf("left: %v, %v", left, err)
	}
}
