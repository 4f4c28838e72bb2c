package lab

import (
	"bytes"
	"cmp"
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// keep takes the smallest of the inputs that added coverage into the repository's
// corpus, as many as fit; plain go test replays them.
func (t *FuzzTarget) persistInputs(room int) error {
	out, err := exec.Command("go", "env", "GOCACHE").Output()
	if err != nil {
		return err
	}
	from := filepath.Join(strings.TrimSpace(string(out)), "fuzz", t.Package, t.Name)
	to := filepath.Join(t.dir, "testdata", "fuzz", t.Name)
	type input struct {
		name string
		text []byte
	}
	var inputs []input
	had := map[string]bool{}
	filepath.WalkDir(to, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			text, _ := os.ReadFile(path)
			room -= len(text)
			had[string(text)] = true
		}
		return nil
	})
	entries, err := os.ReadDir(from)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	for _, e := range entries {
		text, err := os.ReadFile(filepath.Join(from, e.Name()))
		if err != nil {
			return err
		}
		if len(text) <= maxInputBytes && !had[string(text)] {
			inputs = append(inputs, input{e.Name(), text})
		}
	}
	slices.SortFunc(inputs, func(a, b input) int {
		return cmp.Or(cmp.Compare(len(a.text), len(b.text)), bytes.Compare(a.text, b.text))
	})
	for _, x := range inputs {
		if room -= len(x.text); room < 0 {
			break
		}
		if err := os.MkdirAll(to, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, x.name), x.text, 0o644); err != nil {
			return err
		}
		t.Persisted++
	}
	return nil
}
