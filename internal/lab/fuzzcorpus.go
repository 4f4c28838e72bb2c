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

// A corpusInput is a file of a fuzz corpus.
type corpusInput struct {
	name string
	text []byte
}

// persistInputs copies inputs that added coverage from the Go cache to the target's corpus in the repository, which
// plain go test replays. It copies the smallest first, until the corpus would exceed maxBytes.
func (t *FuzzTarget) persistInputs(ctx context.Context, maxBytes int) error {
	// The inputs of an interrupted run are stored as well, hence a context without cancellation.
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

// readCorpus returns the set of the texts of all inputs in a folder, and their total size in bytes. A missing folder
// has none.
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

// newInputs returns the inputs in a folder that have at most maxCorpusInputSize bytes and are not in present, the
// smallest first. A missing folder has none.
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
