package lab

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// A corpusInput is a file of fuzz input.
type corpusInput struct {
	name string
	text []byte
}

// persistInputs adds the smallest of the inputs that added coverage to the repository's corpus,
// as many as fit into so many bytes; plain go test replays them.
func (t *FuzzTarget) persistInputs(ctx context.Context, maxBytes int) error {
	// What an interrupted run has found is stored as well.
	out, err := exec.CommandContext(context.WithoutCancel(ctx), "go", "env", "GOCACHE").Output()
	if err != nil {
		return err
	}
	cache := filepath.Join(strings.TrimSpace(string(out)), "fuzz", t.Package, t.Name)
	corpus := filepath.Join(t.dir, "testdata", "fuzz", t.Name)
	present, size, err := readCorpus(corpus)
	if err != nil {
		return err
	}
	inputs, err := newInputs(cache, present)
	if err != nil {
		return err
	}
	for _, input := range inputs {
		if size += len(input.text); size > maxBytes {
			break
		}
		if err := os.MkdirAll(corpus, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(corpus, input.name), input.text, 0o644); err != nil {
			return err
		}
		t.Persisted++
	}
	return nil
}

// readCorpus returns the inputs in a folder, by their text, and their size in bytes. A folder
// that is missing has none.
func readCorpus(dir string) (inputs map[string]bool, size int, err error) {
	inputs = map[string]bool{}
	err = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil || d.IsDir() {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		size += len(text)
		inputs[string(text)] = true
		return nil
	})
	return inputs, size, err
}

// newInputs returns the inputs in a folder that are small enough and not present yet, the
// smallest first. A folder that is missing has none.
func newInputs(dir string, present map[string]bool) ([]corpusInput, error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var inputs []corpusInput
	for _, entry := range entries {
		text, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, err
		}
		if len(text) <= maxCorpusInputSize && !present[string(text)] {
			inputs = append(inputs, corpusInput{entry.Name(), text})
		}
	}
	slices.SortFunc(inputs, func(a, b corpusInput) int {
		return cmp.Or(cmp.Compare(len(a.text), len(b.text)), bytes.Compare(a.text, b.text))
	})
	return inputs, nil
}
