package lab

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The text that each mutant changes is in its file: one that has changed since proves nothing any more.
func TestMutantsApply(t *testing.T) {
	for _, m := range Mutants {
		text, err := os.ReadFile(filepath.Join("../..", m.File))
		if err != nil {
			t.Errorf("%s: %v", m.Name, err)
			continue
		}
		if !strings.Contains(string(text), m.Old) {
			t.Errorf("%s: the text is no longer in %s", m.Name, m.File)
		}
	}
}
