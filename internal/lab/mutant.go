package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"
)

// A Mutant is a deliberate fault: one piece of a file's text in place of another, and
// the fuzz tests that should see it.
type Mutant struct {
	Name     string
	File     string
	Old, New string
	Package  string
	Run      string // -run of go test
}

// CheckMutants applies each mutant to a copy of the module in the current folder and
// runs its tests. It returns how many of them the tests saw.
func CheckMutants(ctx context.Context, w io.Writer, match string, workers int) (caught, all int, err error) {
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	free := make(chan struct{}, workers)
	for _, m := range Mutants {
		if !strings.Contains(m.Name, match) {
			continue
		}
		all++
		free <- struct{}{}
		wait.Go(func() {
			defer func() { <-free }()
			seen, took, why, err := m.check(ctx)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failed = errors.Join(failed, fmt.Errorf("%s: %w", m.Name, err))
			case seen:
				caught++
				fmt.Fprintf(w, "caught in %4.1f s  %s\n                  by %s\n", took.Seconds(), m.Name, why)
			default:
				fmt.Fprintf(w, "NOT SEEN         %s (%s)\n", m.Name, m.File)
			}
		})
	}
	wait.Wait()
	return caught, all, failed
}

// check applies one mutant to a copy and runs its tests there.
func (m *Mutant) check(ctx context.Context) (seen bool, took time.Duration, why string, err error) {
	dir, err := os.MkdirTemp("", "foxlift-mutant-")
	if err != nil {
		return false, 0, "", err
	}
	defer os.RemoveAll(dir)
	if err := m.apply(dir); err != nil {
		return false, 0, "", err
	}
	binary := filepath.Join(dir, "mutant.test")
	build := exec.CommandContext(ctx, "go", "test", "-c", "-vet=off", "-o", binary, m.Package)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return false, 0, "", fmt.Errorf("it does not build: %s", out)
	}
	ctx, cancel := context.WithTimeout(ctx, mutantLimit)
	defer cancel()
	args := []string{"-test.run", m.Run, "-test.failfast"}
	if m.Run == modelFuzz { // goes on until it sees something
		args = append(args, "-rapid.checks", "1000000", "-rapid.shrinktime", "1s", "-rapid.nofailfile")
	}
	test := exec.CommandContext(ctx, binary, args...)
	test.Dir = filepath.Join(dir, m.Package)
	began := time.Now()
	out, err := test.CombinedOutput()
	took = time.Since(began)
	if ctx.Err() != nil {
		return false, took, "", nil // it ran on without a verdict
	}
	for line := range strings.Lines(string(out)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "--- FAIL: "); ok {
			why, _, _ = strings.Cut(name, " ")
		} else if strings.HasPrefix(line, "panic: ") && why == "" {
			why = strings.TrimSpace(line)
		}
	}
	return err != nil, took, why, nil
}

// apply makes a copy of the source with the fault in it.
func (m *Mutant) apply(dir string) error {
	if err := copySource(dir); err != nil {
		return err
	}
	path := filepath.Join(dir, m.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := strings.Count(string(text), m.Old); n != 1 {
		return fmt.Errorf("its text stands %d times in %s", n, m.File)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o644)
}

// BuildProgram builds the scheduler with the fault in it, from the module in the current folder, in a folder
// of its own, and returns the binary's path.
func (m *Mutant) BuildProgram(ctx context.Context, dir string) (program string, err error) {
	if err := m.apply(dir); err != nil {
		return "", err
	}
	program = filepath.Join(dir, "foxlift")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/foxlift")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("it does not build: %s", out)
	}
	return program, nil
}

// copySource copies what the module is built and tested from.
func copySource(to string) error {
	return filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			switch path {
			case ".git", "bin", "journal":
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, path), 0o755)
		}
		if !d.Type().IsRegular() {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, path), text, 0o644)
	})
}
