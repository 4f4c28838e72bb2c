package lab

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The text that each mutant replaces occurs exactly once in its file, as apply requires. A mutant whose text has
// changed in the file since can no longer be applied and shows nothing about the tests.
func TestMutantsApply(t *testing.T) {
	for _, m := range Mutants {
		text, err := os.ReadFile(filepath.Join("../..", m.File))
		if err != nil {
			t.Errorf("%s: %v", m.Name, err)
			continue
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Errorf("%s: the text to replace occurs %d times in %s, want 1", m.Name, n, m.File)
		}
	}
}

// lastFailure returns the last failed test of an output, or else its panic.
func TestLastFailure(t *testing.T) {
	for output, want := range map[string]string{
		"--- FAIL: TestA (0.1s)\n    --- FAIL: TestA/b (0.1s)\nFAIL\n": "TestA/b",
		"panic: nil map\n\ngoroutine 1\n":                              "panic: nil map",
		"ok\n":                                                         "",
	} {
		if got := lastFailure(output); got != want {
			t.Errorf("lastFailure(%q) = %q, want %q", output, got, want)
		}
	}
}
