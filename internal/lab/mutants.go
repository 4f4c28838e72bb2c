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

const (
	platformFuzz = "^(TestFuzz|TestEverySplit)"
	modelFuzz    = "^TestModel$"
	mutantLimit  = 60 * time.Second // for the tests to see one, their building aside
)

// Mutants are the faults by which the fuzzers' oracles are proved.
var Mutants = []Mutant{
	{"a job is answered twice", "internal/core/book.go", "if j.answered.Load() {\n\t\treturn\n\t}", "", "./internal/core", modelFuzz},
	{"an answer is forgotten", "internal/core/book.go", "\tj.Client.Answer(a)\n", "\tif j.number%5 != 0 {\n\t\tj.Client.Answer(a)\n\t}\n", "./internal/core", modelFuzz},
	{"a reset counts as never run", "api.go", "c == Unreachable || c == NotSent", "c == Unreachable || c == NotSent || c == Reset", "./internal/core", modelFuzz},
	{"a timed-out claim counts as never run", "api.go", "c == Unreachable || c == NotSent", "c == Unreachable || c == NotSent || c == DeadlineExceeded", "./internal/core", modelFuzz},
	{"drains are not heard", "machine_list.go", "\tw.setState(e.State, d.now)\n", "\tif e.State != Draining {\n\t\tw.setState(e.State, d.now)\n\t}\n", "./internal/core", modelFuzz},
	{"a refusal is promised after it may have run", "attempts.go", "\treturn j.mayHaveRun == nil || j.class.Effect", "\treturn j.class.Effect == AtMostOnce || j.class.Effect", "./internal/core", modelFuzz},
	{"a claim is counted twice", "internal/core/send.go", "c.count(cl, 1)", "c.count(cl, 2)", "./internal/core", modelFuzz},
	{"a claim's end is not counted", "internal/core/relay.go", "\tc.count(cl, -1)\n", "", "./internal/core", modelFuzz},
	{"attempts before a move are forgotten", "internal/core/admit.go", "PriorAttempts: j.base,", "", "./internal/core", modelFuzz},
	{"a moved job is lost between modules", "internal/core/route.go", "\t\t\tc.place(j)\n", "", "./internal/core", modelFuzz},
	{"a moved job stays with its old module", "internal/core/cell_jobs.go", "\tj.cell.tell(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: j.number})\n}", "}", "./internal/core", modelFuzz},
	{"an answered id may come again", "internal/core/book.go", "\tc.remember(j.ID, c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent)\n", "", "./internal/core", modelFuzz},
	{"an id in use may come again", "internal/core/takein.go", "answered || c.open[j.ID] != nil", "answered", "./internal/core", modelFuzz},
	{"a place at the gate is never left", "internal/core/cell_scheme.go", "p.gate.Leave(p.cell, p.tenant)", "", "./internal/core", modelFuzz},
	{"a refused spill is not counted down", "internal/core/cell_jobs.go", "\tj.unspill()\n\tj.cell = c.cells[way.Cell]", "\tj.cell = c.cells[way.Cell]", "./internal/core", modelFuzz},
	{"a spilled job is never counted down", "internal/core/cell.go", "j.spilled.spillsOut--", "", "./internal/core", modelFuzz},
	{"a key's job is never counted down", "internal/core/book.go", "\tc.leaveKey(j)\n", "", "./internal/core", modelFuzz},
	{"an ended claim's place is not freed in the module", "peers.go", "\tw.usedSlots += by * a.slots\n", "\tif by > 0 {\n\t\tw.usedSlots += by * a.slots\n\t}\n", "./internal/core", modelFuzz},
	{"Content-Length beside Transfer-Encoding", "internal/platform/parse.go", "case lengths > 0 && codings > 0:", "case false:", "./internal/platform", platformFuzz},
	{"a repeated length", "internal/platform/parse.go", "case lengths > 1 || codings > 1:", "case false:", "./internal/platform", platformFuzz},
	{"a header name with a space", "internal/platform/parse.go", "if !isName(name) {", "if false {", "./internal/platform", platformFuzz},
	{"Transfer-Encoding in HTTP/1.0", "internal/platform/parse.go", "case codings > 0 && !req.ProtoAtLeast(1, 1):", "case false:", "./internal/platform", platformFuzz},
	{"a signed time", "internal/platform/parse.go", `"0123456789."`, `"0123456789.+-"`, "./internal/platform", platformFuzz},
	{"done without the last chunk", "internal/platform/states.go", "if err := lines.Err(); err != nil {", "if err := lines.Err(); err != nil && last == nil {", "./internal/platform", platformFuzz},
	{"done for another id", "internal/platform/states.go", "n.ID != a.job.ID || last != nil", "last != nil", "./internal/platform", platformFuzz},
	{"two words after the last", "internal/platform/states.go", "n.ID != a.job.ID || last != nil", "n.ID != a.job.ID", "./internal/platform", platformFuzz},
	{"any 503 counts as never run", "internal/platform/attempt.go", `turned && resp.Header.Get(headerTurnedAway) == "1"`, "turned", "./internal/platform", platformFuzz},
	{"a pipelined request is dropped", "internal/platform/buffer.go", "n := m.at - m.Buffered()\n\tm.b.r, m.at", "n := m.at\n\tm.b.r, m.at", "./internal/platform", platformFuzz},
	{"a buffer loses a byte when it is moved", "internal/platform/buffer.go", "copy(b.data, b.data[b.r:b.w])\n\t\tb.r = 0", "copy(b.data, b.data[b.r:b.w-1])\n\t\tb.r = 0", "./internal/platform", platformFuzz},
	{"a start in the future is believed", "internal/platform/machine.go", "age := max(0, wall.Sub(time.UnixMilli(bornMilli)))", "age := wall.Sub(time.UnixMilli(bornMilli))", "./internal/platform", platformFuzz},
	{"NaN is a number", "internal/config/sexp.go", "err == nil && n >= least && n <= most {\n\t\t\treturn n\n\t\t}\n\t}\n\tr.fault(v, f.key, \"%s is not a number", "err == nil && !(n < least) && !(n > most) {\n\t\t\treturn n\n\t\t}\n\t}\n\tr.fault(v, f.key, \"%s is not a number", "./internal/config", "^TestFuzz"},
	{"faults are out of order", "internal/config/operator.go", "\t\treturn nil, r.sorted()", "\t\treturn nil, r.faults", "./internal/config", "^TestFuzz"},
	{"a negative stretch is taken", "internal/config/check.go", "case k.ObjectiveStretch < 0:", "case false:", "./internal/config", "^TestFuzz"},
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
