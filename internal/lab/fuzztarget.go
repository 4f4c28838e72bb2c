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

// A FuzzTarget is one native target and what became of it.
type FuzzTarget struct {
	Package       string  `json:"package"`
	Name          string  `json:"name"`
	Seconds       float64 `json:"seconds"`
	Executions    int64   `json:"executions"`
	NewInputs     int     `json:"new_inputs"`
	Inputs        int     `json:"inputs"`
	Coverage      string  `json:"coverage,omitempty"` // of its package's statements, by seeds and corpus
	Persisted     int     `json:"kept,omitempty"`
	dir           string
	foundCoverage bool // found new coverage in its last turn
}

// listFuzzTargets lists the native targets of the module.
func listFuzzTargets(ctx context.Context, match string) ([]*FuzzTarget, error) {
	want, err := regexp.Compile(match)
	if err != nil {
		return nil, fmt.Errorf("match: %w", err)
	}
	list := exec.CommandContext(ctx, "go", "list", "-f", "{{.ImportPath}} {{.Dir}}", "./...")
	out, err := list.Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w (the runner needs the go command and the source)", err)
	}
	dirs := map[string]string{}
	for line := range strings.Lines(string(out)) {
		pkg, dir, _ := strings.Cut(strings.TrimSpace(line), " ")
		dirs[pkg] = dir
	}
	out, err = exec.CommandContext(ctx, "go", "test", "-list", "^Fuzz", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("go test -list: %w", err)
	}
	var targets []*FuzzTarget
	var names []string
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		switch {
		case len(fields) == 1 && strings.HasPrefix(fields[0], "Fuzz"):
			names = append(names, fields[0])
		case len(fields) >= 2 && fields[0] == "ok":
			for _, name := range names {
				if want.MatchString(name) {
					targets = append(targets, &FuzzTarget{Package: fields[1], Name: name, dir: dirs[fields[1]]})
				}
			}
			names = nil
		}
	}
	return targets, nil
}

var (
	progressLine = regexp.MustCompile(`execs: (\d+) .*new interesting: (\d+) \(total: (\d+)\)`)
	failingInput = regexp.MustCompile(`Failing input written to (\S+)`)
)

// turn fuzzes one target for a while.
func (t *FuzzTarget) fuzzFor(ctx context.Context, long time.Duration, o FuzzOptions, w io.Writer) ([]Finding, error) {
	began := time.Now()
	cmd := exec.Command("go", "test", "-run", "^$", "-fuzz", "^"+t.Name+"$", "-fuzztime", long.Round(time.Millisecond).String(),
		"-fuzzminimizetime", "10x", "-parallel", strconv.Itoa(o.Workers), t.Package)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal to this process is not one to them
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { syscall.Kill(-cmd.Process.Pid, syscall.SIGINT) })
	defer stop()
	var tail []string
	execs, fresh := int64(0), 0
	lines := bufio.NewScanner(pipe)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		text := lines.Text()
		if m := progressLine.FindStringSubmatch(text); m != nil {
			execs, _ = strconv.ParseInt(m[1], 10, 64)
			fresh, _ = strconv.Atoi(m[2])
			t.Inputs, _ = strconv.Atoi(m[3])
			continue
		}
		if tail = append(tail, text); len(tail) > 60 {
			tail = tail[1:]
		}
	}
	failed := cmd.Wait() != nil
	took := time.Since(began)
	t.Seconds += took.Seconds()
	t.Executions += execs
	t.NewInputs += fresh
	t.foundCoverage = fresh > 0
	fmt.Fprintf(w, "%-18s %6.1f s  %9d executions  %4d new of %d inputs\n", t.Name, took.Seconds(), execs, fresh, t.Inputs)
	if !failed || ctx.Err() != nil {
		return nil, nil
	}
	f := Finding{Target: t.Name, Output: strings.Join(tail, "\n"), Replay: fmt.Sprintf("go test -run %s %s", t.Name, t.Package)}
	if m := failingInput.FindStringSubmatch(f.Output); m != nil {
		from := filepath.Join(t.dir, m[1])
		f.File = filepath.Join(o.Dir, t.Name+"-"+filepath.Base(from))
		text, err := os.ReadFile(from)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(f.File, text, 0o644); err != nil {
			return nil, err
		}
		f.Replay = fmt.Sprintf("go test -run %s/%s %s", t.Name, filepath.Base(from), t.Package)
	} else if strings.Contains(f.Output, "[build failed]") || strings.Contains(f.Output, "[setup failed]") {
		return nil, fmt.Errorf("%s cannot be built:\n%s", t.Name, f.Output)
	}
	fmt.Fprintf(w, "FINDING in %s: %s\n%s\n", t.Name, f.File, f.Output)
	return []Finding{f}, nil
}

var coverageLine = regexp.MustCompile(`coverage: (\S+) of statements`)

// coverage is what a target's seeds and corpus reach of its package.
func measureCoverage(ctx context.Context, t *FuzzTarget) string {
	out, _ := exec.CommandContext(ctx, "go", "test", "-count=1", "-cover", "-run", "^"+t.Name+"$", t.Package).CombinedOutput()
	if m := coverageLine.FindSubmatch(out); m != nil {
		return string(m[1])
	}
	return ""
}
