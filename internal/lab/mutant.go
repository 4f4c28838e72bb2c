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

// A Mutant is a deliberate fault: a replacement of one text in a source file, with the tests that should fail because
// of it.
type Mutant struct {
	Name     string
	File     string // path from the root of the module
	Old, New string // Old occurs exactly once in File
	Package  string // of the tests, relative to the module
	Run      string // regular expression for go test -run
}

// A mutantResult is the result of the tests on a mutant.
type mutantResult struct {
	caught   bool
	duration time.Duration
	failure  string // name of the failed test, or the panic
}

// CheckMutants applies each mutant whose name contains match to a copy of the module in the current folder and runs its
// tests there. It checks concurrency mutants at a time; 0 or less means one for each CPU core. It writes the outcome of
// each mutant to w and returns how many were caught, because a test failed within mutantTimeout, and how many it
// checked. The error joins those of all mutants that could not be applied or built; these count as checked, but not as
// caught.
func CheckMutants(
	ctx context.Context, w io.Writer, match string, concurrency int,
) (caught, checked int, err error) {
	if concurrency <= 0 {
		concurrency = runtime.NumCPU()
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	var errs error
	slots := make(chan struct{}, concurrency)
	for _, m := range Mutants {
		if !strings.Contains(m.Name, match) {
			continue
		}
		checked++
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			result, err := m.check(ctx)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				errs = errors.Join(errs, fmt.Errorf("%s: %w", m.Name, err))
			case result.caught:
				caught++
				fmt.Fprintf(w, "caught in %4.1f s  %s\n                  by %s\n",
					result.duration.Seconds(), m.Name, result.failure)
			default:
				fmt.Fprintf(w, "NOT CAUGHT       %s (%s)\n", m.Name, m.File)
			}
		})
	}
	running.Wait()
	return caught, checked, errs
}

// check applies the mutant to a copy of the module and runs its tests there. A run that reaches mutantTimeout counts as
// not caught.
func (m *Mutant) check(ctx context.Context) (mutantResult, error) {
	dir, err := os.MkdirTemp("", "foxlift-mutant-")
	if err != nil {
		return mutantResult{}, err
	}
	defer os.RemoveAll(dir)
	if err := m.apply(dir); err != nil {
		return mutantResult{}, err
	}
	binary := filepath.Join(dir, "mutant.test")
	if err := runGo(ctx, dir, "test", "-c", "-vet=off", "-o", binary, m.Package); err != nil {
		return mutantResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, mutantTimeout)
	defer cancel()
	args := []string{"-test.run", m.Run, "-test.failfast"}
	if m.Run == modelFuzz { // run until a check fails or the time is over
		args = append(args, "-rapid.checks", "1000000", "-rapid.shrinktime", "1s", "-rapid.nofailfile")
	}
	test := exec.CommandContext(ctx, binary, args...)
	test.Dir = filepath.Join(dir, m.Package)
	began := time.Now()
	out, err := test.CombinedOutput()
	result := mutantResult{duration: time.Since(began)}
	if ctx.Err() != nil {
		return result, nil // the time is over and no test has failed
	}
	result.caught = err != nil
	result.failure = lastFailure(string(out))
	return result, nil
}

// lastFailure returns the name of the last failed test in an output of go test, or else the line of its panic; "" if it
// has neither.
func lastFailure(output string) (name string) {
	for line := range strings.Lines(output) {
		if failed, ok := strings.CutPrefix(strings.TrimSpace(line), "--- FAIL: "); ok {
			name, _, _ = strings.Cut(failed, " ")
		} else if strings.HasPrefix(line, "panic: ") && name == "" {
			name = strings.TrimSpace(line)
		}
	}
	return name
}

// runGo runs a build with the go command in a folder.
func runGo(ctx context.Context, dir string, args ...string) error {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("go %s failed: %s", args[0], out)
	}
	return nil
}

// apply copies the module in the current folder to dir and applies the mutant there. It returns an error if the text to
// replace does not occur exactly once in the mutant's file.
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
		return fmt.Errorf("the text to replace occurs %d times in %s, want 1", n, m.File)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o644)
}

// BuildProgram copies the module in the current folder to dir, applies the mutant there, builds the scheduler and
// returns the path of the binary. It fails if the text to replace does not occur exactly once in the mutant's file.
func (m *Mutant) BuildProgram(ctx context.Context, dir string) (program string, err error) {
	if err := m.apply(dir); err != nil {
		return "", err
	}
	return BuildScheduler(ctx, dir, dir)
}

// BuildScheduler builds the scheduler from the module in a folder, "" for the current one, into the folder to, and
// returns the path of the binary.
func BuildScheduler(ctx context.Context, module, to string) (program string, err error) {
	program = filepath.Join(to, "foxlift")
	const scheduler = "github.com/vatu-meals/foxlift/cmd/foxlift"
	if err := runGo(ctx, module, "build", "-o", program, scheduler); err != nil {
		return "", err
	}
	return program, nil
}

// copySource copies the regular files of the current folder to another one, without .git, bin and journal.
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
