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

// A FuzzTarget is one native fuzz target and what became of it.
type FuzzTarget struct {
	Package    string  `json:"package"`
	Name       string  `json:"name"`
	Seconds    float64 `json:"seconds"`
	Executions int64   `json:"executions"`
	NewInputs  int     `json:"new_inputs"`
	Inputs     int     `json:"inputs"`
	Coverage   string  `json:"coverage,omitempty"` // of its package's statements, by seeds and corpus
	Persisted  int     `json:"kept,omitempty"`     // inputs added to the corpus in the repository

	dir           string // of the package
	foundCoverage bool   // in its last time slice
}

// findFuzzTargets finds the native targets of the module.
func findFuzzTargets(ctx context.Context, match string) ([]*FuzzTarget, error) {
	wanted, err := regexp.Compile(match)
	if err != nil {
		return nil, fmt.Errorf("match: %w", err)
	}
	dirs, err := packageDirs(ctx)
	if err != nil {
		return nil, err
	}
	out, err := exec.CommandContext(ctx, "go", "test", "-list", "^Fuzz", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("go test -list: %w", err)
	}
	// The names of a package's targets stand before the line that names the package.
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
		return nil, fmt.Errorf("go list: %w (the runner needs the go command and the source)", err)
	}
	dirs := map[string]string{}
	for line := range strings.Lines(string(out)) {
		pkg, dir, _ := strings.Cut(strings.TrimSpace(line), " ")
		dirs[pkg] = dir
	}
	return dirs, nil
}

// What go test prints.
var (
	progressLine = regexp.MustCompile(`execs: (\d+) .*new interesting: (\d+) \(total: (\d+)\)`)
	failingInput = regexp.MustCompile(`Failing input written to (\S+)`)
	coverageLine = regexp.MustCompile(`coverage: (\S+) of statements`)
)

const (
	maxOutputLineBytes = 4 << 20 // bytes of a line of go test
	findingOutputLines = 60      // last lines of the output that a finding has
)

// fuzzFor fuzzes the target for a while. When ctx ends it interrupts go test, which then
// ends with what it has.
func (t *FuzzTarget) run(
	ctx context.Context, duration time.Duration, options FuzzOptions, output io.Writer,
) ([]Finding, error) {
	began := time.Now()
	cmd := exec.Command( //nolint:noctx // its end is asked for by SIGINT to the whole group, below
		"go", "test", "-run", "^$", "-fuzz", "^"+t.Name+"$",
		"-fuzztime", duration.Round(time.Millisecond).String(),
		"-fuzzminimizetime", "10x", "-parallel", strconv.Itoa(options.Workers), t.Package)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal to this process is not one to them
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGINT) // the group may have ended by itself
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

// readProgress reads the output of go test to its end. It returns what the last progress line
// counts and the last other lines.
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

// finding makes a finding of a failed run's output and copies the failing input to a folder.
func (t *FuzzTarget) finding(output, dir string) (Finding, error) {
	f := Finding{
		Target: t.Name,
		Replay: fmt.Sprintf("go test -run %s %s", t.Name, t.Package),
		Output: output,
	}
	written := failingInput.FindStringSubmatch(output)
	if written == nil {
		if strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]") {
			return f, fmt.Errorf("%s cannot be built:\n%s", t.Name, output)
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

// measureCoverage returns what the target's seeds and corpus reach of its package's
// statements; "" if that cannot be told.
func (t *FuzzTarget) measureCoverage(ctx context.Context) string {
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-cover", "-run", "^"+t.Name+"$", t.Package)
	out, _ := cmd.CombinedOutput() // a failing test reports its coverage, too
	if m := coverageLine.FindSubmatch(out); m != nil {
		return string(m[1])
	}
	return ""
}
