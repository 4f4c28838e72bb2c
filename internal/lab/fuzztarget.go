package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// A FuzzTarget is a native Go fuzz target with the results of its runs.
type FuzzTarget struct {
	Package    string  `json:"package"`
	Name       string  `json:"name"`
	Seconds    float64 `json:"seconds"` // run so far
	Executions int64   `json:"executions"`
	NewInputs  int     `json:"new_inputs"`         // that added coverage
	Inputs     int     `json:"inputs"`             // in the corpus, including the Go cache
	Coverage   string  `json:"coverage,omitempty"` // percentage of its package's statements that seeds and corpus reach
	Persisted  int     `json:"kept,omitempty"`     // inputs added to the corpus in the repository

	dir           string // folder of the package
	foundCoverage bool   // its last time slice found new coverage
}

// findFuzzTargets returns the native fuzz targets of the module whose names match a regular expression.
func findFuzzTargets(ctx context.Context, match string) ([]*FuzzTarget, error) {
	wanted, err := regexp.Compile(match)
	if err != nil {
		return nil, fmt.Errorf("match %q: %w", match, err)
	}
	dirs, err := packageDirs(ctx)
	if err != nil {
		return nil, err
	}
	out, err := exec.CommandContext(ctx, "go", "test", "-list", "^Fuzz", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("go test -list: %w", err)
	}
	// go test -list prints the targets of a package before the "ok" line with the package path.
	var targets []*FuzzTarget
	var names []string
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		switch {
		case len(fields) == 1 && strings.HasPrefix(fields[0], "Fuzz"):
			names = append(names, fields[0])
		case len(fields) >= 2 && fields[0] == "ok":
			for _, name := range names {
				if wanted.MatchString(name) {
					targets = append(targets, &FuzzTarget{Package: fields[1], Name: name, dir: dirs[fields[1]]})
				}
			}
			names = nil
		}
	}
	return targets, nil
}

// packageDirs returns the folder of each package of the module.
func packageDirs(ctx context.Context) (map[string]string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.ImportPath}} {{.Dir}}", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w (fuzz needs the go command and the source of the module)", err)
	}
	dirs := map[string]string{}
	for line := range strings.Lines(string(out)) {
		pkg, dir, _ := strings.Cut(strings.TrimSpace(line), " ")
		dirs[pkg] = dir
	}
	return dirs, nil
}

// Patterns of the output of go test.
var (
	progressLine = regexp.MustCompile(`execs: (\d+) .*new interesting: (\d+) \(total: (\d+)\)`)
	failingInput = regexp.MustCompile(`Failing input written to (\S+)`)
	coverageLine = regexp.MustCompile(`coverage: (\S+) of statements`)
)

const (
	maxOutputLineBytes = 4 << 20 // longest line of go test that is read, in bytes
	findingOutputLines = 60      // last lines of go test that a finding contains
)

// run fuzzes the target for a duration and returns its findings, at most one. When ctx ends it interrupts go test,
// which then stops and keeps the inputs that it has found.
func (t *FuzzTarget) run(
	ctx context.Context, duration time.Duration, options FuzzOptions, output io.Writer,
) ([]Finding, error) {
	began := time.Now()
	cmd := exec.Command( //nolint:noctx // stopped below by SIGINT to the whole process group
		"go", "test", "-run", "^$", "-fuzz", "^"+t.Name+"$",
		"-fuzztime", duration.Round(time.Millisecond).String(),
		"-fuzzminimizetime", "10x", "-parallel", strconv.Itoa(options.Workers), t.Package)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // signals to this process's group do not reach go test
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGINT) // fails if the group has already ended
	})
	defer stop()
	executions, newInputs, testOutput := t.readProgress(stdout)
	failed := cmd.Wait() != nil
	took := time.Since(began).Seconds()
	t.Seconds += took
	t.Executions += executions
	t.NewInputs += newInputs
	t.foundCoverage = newInputs > 0
	fmt.Fprintf(output, "%-18s %6.1f s  %9d executions  %4d new of %d inputs\n",
		t.Name, took, executions, newInputs, t.Inputs)
	if !failed || ctx.Err() != nil {
		return nil, nil
	}
	finding, err := t.finding(testOutput, options.Dir)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(output, "FINDING in %s: %s\n%s\n", t.Name, finding.File, finding.Output)
	return []Finding{finding}, nil
}

// readProgress reads the output of go test to its end. It returns the counts of the last progress line and the last
// findingOutputLines other lines.
func (t *FuzzTarget) readProgress(stdout io.Reader) (executions int64, newInputs int, output string) {
	var tail []string
	lines := bufio.NewScanner(stdout)
	lines.Buffer(nil, maxOutputLineBytes)
	for lines.Scan() {
		text := lines.Text()
		if m := progressLine.FindStringSubmatch(text); m != nil {
			executions, _ = strconv.ParseInt(m[1], 10, 64)
			newInputs, _ = strconv.Atoi(m[2])
			t.Inputs, _ = strconv.Atoi(m[3])
			continue
		}
		if tail = append(tail, text); len(tail) > findingOutputLines {
			tail = tail[1:]
		}
	}
	return executions, newInputs, strings.Join(tail, "\n")
}

// finding returns the finding of a failed run, given the run's output, and copies the failing input to a folder. It
// returns an error if the target could not be built.
func (t *FuzzTarget) finding(output, dir string) (Finding, error) {
	f := Finding{
		Target: t.Name,
		Replay: fmt.Sprintf("go test -run %s %s", t.Name, t.Package),
		Output: output,
	}
	written := failingInput.FindStringSubmatch(output)
	if written == nil {
		if strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]") {
			return f, fmt.Errorf("fuzz target %s cannot be built:\n%s", t.Name, output)
		}
		return f, nil
	}
	input := filepath.Join(t.dir, written[1])
	f.File = filepath.Join(dir, t.Name+"-"+filepath.Base(input))
	text, err := os.ReadFile(input)
	if err != nil {
		return f, err
	}
	if err := os.WriteFile(f.File, text, 0o644); err != nil {
		return f, err
	}
	f.Replay = fmt.Sprintf("go test -run %s/%s %s", t.Name, filepath.Base(input), t.Package)
	return f, nil
}

// measureCoverage returns the percentage of its package's statements that the target's seeds and corpus reach; "" if go
// test reports none.
func (t *FuzzTarget) measureCoverage(ctx context.Context) string {
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-cover", "-run", "^"+t.Name+"$", t.Package)
	out, _ := cmd.CombinedOutput() // a failing test reports its coverage as well
	if m := coverageLine.FindSubmatch(out); m != nil {
		return string(m[1])
	}
	return ""
}
