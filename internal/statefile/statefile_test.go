package statefile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A file from which any byte is cut off, or in which one is flipped or added, is unreadable.
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
	intact, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	expectUnreadable := func(what string, at int, data []byte) {
		t.Helper()
		if err := os.WriteFile(f.Path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := f.Read(&got); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%s at %d: %v", what, at, err)
		}
	}
	for at := range intact {
		expectUnreadable("torn", at, intact[:at])
		for bit := range 8 {
			data := append([]byte(nil), intact...)
			data[at] ^= 1 << bit
			expectUnreadable("flipped", at, data)
		}
	}
	expectUnreadable("longer", len(intact), append(append([]byte(nil), intact...), 0))
	expectUnreadable("too long", f.MaxSize, make([]byte, f.MaxSize+1))
}

// A failed write leaves the stored value as it was, and no temporary file.
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
		t.Error("a value that JSON cannot encode is written")
	}
	if err := (File{Path: filepath.Join(dir, "no", "folder"), MaxSize: 64}).Write("new"); err == nil {
		t.Error("written into a folder that is not there")
	}
	var got string
	if err := f.Read(&got); err != nil || got != "old" {
		t.Errorf("%q, %v", got, err)
	}
	f.Remove()
	if remaining, err := os.ReadDir(dir); err != nil || len(remaining) != 0 {
		t.Errorf("remaining files: %v, %v", remaining, err)
	}
}
