package lab

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The text that each mutant changes is in its file exactly once, as apply requires: one that has changed
// since proves nothing any more.
func TestMutantsApply(t *testing.T) {
	for _, m := range Mutants {
		text, err := os.ReadFile(filepath.Join("../..", m.File))
		if err != nil {
			t.Errorf("%s: %v", m.Name, err)
			continue
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Errorf("%s: the text is %d times in %s", m.Name, n, m.File)
		}
	}
}

// The last failed test of an output is named, or else its panic.
func TestLastFailure(t *testing.T) {
	for output, want := range map[string]string{
		"--- FAIL: TestA (0.1s)\n    --- FAIL: TestA/b (0.1s)\nFAIL\n": "TestA/b",
		"panic: nil map\n\ngoroutine 1\n":                              "panic: nil map",
		"ok\n":                                                         "",
	} {
		if got := lastFailure(output); got != want {
			t.Errorf("%q: %q, want %q", output, got, want)
		}
	}
}
