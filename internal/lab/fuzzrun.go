package lab

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// FuzzOptions are what the long runner is told.
type FuzzOptions struct {
	Duration time.Duration
	Workers  int
	Dir      string // where findings and the summary go
	Persist  bool   // take new inputs into the corpus of the repository
	Match    string // of targets' names; "": all
}

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

// A Finding is an input that broke a rule.
type Finding struct {
	Target string `json:"target"`
	File   string `json:"file"`
	Replay string `json:"replay"`
	Output string `json:"output"`
}

// A FuzzSummary is what a run of the long runner comes to.
type FuzzSummary struct {
	Started    time.Time     `json:"started"`
	Seconds    float64       `json:"seconds"`
	Workers    int           `json:"workers"`
	Targets    []*FuzzTarget `json:"targets"`
	Executions int64         `json:"executions"`
	Findings   []Finding     `json:"findings"`
}

// Line is the run's last line.
func (s *FuzzSummary) Line() string {
	return fmt.Sprintf("fuzz: targets %d, executions %d, findings %d", len(s.Targets), s.Executions, len(s.Findings))
}

const (
	minTimeSlice      = 4 * time.Second // of which the runner of go test needs one to begin
	maxTimeSlice      = 60 * time.Second
	newCoverageFactor = 3       // as long, for a target that still finds new coverage
	maxCorpusBytes    = 2 << 20 // of inputs in the repository, over all targets
	maxInputBytes     = 4 << 10 // one of them
)

// Fuzz goes through all fuzz targets of the module in the current folder, by turns,
// until the time is over or ctx ends. It needs the go command.
func Fuzz(ctx context.Context, w io.Writer, o FuzzOptions) (*FuzzSummary, error) {
	targets, err := listFuzzTargets(ctx, o.Match)
	if err != nil {
		return nil, err
	}
	if len(targets) == 0 {
		return nil, errors.New("there is no fuzz target")
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	s := &FuzzSummary{Started: time.Now().UTC(), Workers: o.Workers, Targets: targets, Findings: []Finding{}}
	end := s.Started.Add(o.Duration)
	for round := 1; ctx.Err() == nil && time.Until(end) >= minTimeSlice; round++ {
		for i, t := range targets {
			left := time.Until(end)
			if ctx.Err() != nil || left < minTimeSlice {
				break
			}
			// What is left of the time, shared by the targets of this round and some more
			// rounds, more of it to those that found something new.
			turn := max(minTimeSlice, min(maxTimeSlice, left/time.Duration(max(1, 3*(len(targets)-i)))))
			if t.foundCoverage {
				turn = min(newCoverageFactor*turn, maxTimeSlice)
			}
			if round == 1 {
				turn = max(minTimeSlice, min(turn, left/time.Duration(len(targets)-i)))
			}
			found, err := t.fuzzFor(ctx, min(turn, left), o, w)
			if err != nil {
				return s, err
			}
			s.Findings = append(s.Findings, found...)
			if len(found) > 0 { // it would be found again at once
				targets = slices.Delete(slices.Clone(targets), i, i+1)
				break
			}
		}
		if len(targets) == 0 {
			break
		}
	}
	for _, t := range s.Targets {
		s.Executions += t.Executions
		if o.Persist {
			if err := t.persistInputs(maxCorpusBytes / len(s.Targets)); err != nil {
				return s, err
			}
		}
		if ctx.Err() == nil {
			t.Coverage = measureCoverage(ctx, t)
		}
	}
	s.Seconds = time.Since(s.Started).Seconds()
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return s, err
	}
	return s, os.WriteFile(filepath.Join(o.Dir, "summary.json"), append(text, '\n'), 0o644)
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

var coverageLine = regexp.MustCompile(`coverage: (\S+) of statements`)

// coverage is what a target's seeds and corpus reach of its package.
func measureCoverage(ctx context.Context, t *FuzzTarget) string {
	out, _ := exec.CommandContext(ctx, "go", "test", "-count=1", "-cover", "-run", "^"+t.Name+"$", t.Package).CombinedOutput()
	if m := coverageLine.FindSubmatch(out); m != nil {
		return string(m[1])
	}
	return ""
}
