package statefile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A crash or a disk error may leave a truncated or corrupt file. Read must return ErrUnreadable for a file that
// is truncated at any byte, has any single bit flipped, or has an additional byte.
func TestCorruptFilesAreUnreadable(t *testing.T) {
	f := File{Path: filepath.Join(t.TempDir(), "value"), Magic: "test 1\n", MaxSize: 1 << 10}
	var got []string
	if err := f.Read(&got); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Read() without a file: error %v, want %v", err, os.ErrNotExist)
	}
	if err := f.Write([]string{"a", "b"}); err != nil {
		t.Fatal(err)
	}
	if err := f.Read(&got); err != nil || len(got) != 2 {
		t.Fatalf("Read() = %v, %v; want 2 elements", got, err)
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
			t.Errorf("Read() of a file %s at byte %d: error %v, want %v", what, at, err, ErrUnreadable)
		}
	}
	for at := range intact {
		expectUnreadable("truncated", at, intact[:at])
		for bit := range 8 {
			data := append([]byte(nil), intact...)
			data[at] ^= 1 << bit
			expectUnreadable("with a bit flipped", at, data)
		}
	}
	expectUnreadable("with a byte added", len(intact), append(append([]byte(nil), intact...), 0))
	expectUnreadable("that exceeds MaxSize", f.MaxSize, make([]byte, f.MaxSize+1))
}

// A failed write leaves the stored value unchanged and no temporary file behind.
func TestFailedWritePreservesOldValue(t *testing.T) {
	dir := t.TempDir()
	f := File{Path: filepath.Join(dir, "value"), Magic: "test 1\n", MaxSize: 64, Sync: true}
	if err := f.Write("old"); err != nil {
		t.Fatal(err)
	}
	if err := f.Write(string(make([]byte, 100))); err == nil {
		t.Error("Write() of a value larger than MaxSize returns no error")
	}
	if err := f.Write(func() {}); err == nil {
		t.Error("Write() of a value that JSON cannot encode returns no error")
	}
	if err := (File{Path: filepath.Join(dir, "no", "folder"), MaxSize: 64}).Write("new"); err == nil {
		t.Error("Write() to a directory that does not exist returns no error")
	}
	var got string
	if err := f.Read(&got); err != nil || got != "old" {
		t.Errorf("Read() after failed writes = %q, %v; want \"old\"", got, err)
	}
	f.Remove()
	if remaining, err := os.ReadDir(dir); err != nil || len(remaining) != 0 {
		t.Errorf("files in the directory: %v, %v; want none", remaining, err)
	}
}
