package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// FuzzOptions are what the long runner is told.
type FuzzOptions struct {
	Duration time.Duration
	Workers  int    // processes that fuzz at a time
	Dir      string // where findings and the summary go
	Persist  bool   // add new inputs to the corpus in the repository
	Match    string // regular expression for the targets' names; "": all
}

// A Finding is an input that broke a rule.
type Finding struct {
	Target string `json:"target"`
	File   string `json:"file"`
	Replay string `json:"replay"` // command
	Output string `json:"output"`
}

// A FuzzSummary is the result of a run of the long runner.
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

// write stores the summary in a folder.
func (s *FuzzSummary) write(dir string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "summary.json"), append(text, '\n'), 0o644)
}

const (
	minTimeSlice       = 4 * time.Second // of which the runner of go test needs one to begin
	maxTimeSlice       = 60 * time.Second
	newCoverageFactor  = 3 // times as long, for a target that still finds new coverage
	plannedFuzzRounds  = 3 // over which the time left is shared
	maxCorpusBytes     = 2 << 20
	maxCorpusInputSize = 4 << 10
)

// errNoFuzzTarget says that the module has no fuzz target of a matching name.
var errNoFuzzTarget = errors.New("there is no fuzz target")

// Fuzz runs all fuzz targets of the module in the current folder in turn, until the time
// is over or ctx ends. It needs the go command.
func RunFuzzTargets(ctx context.Context, w io.Writer, options FuzzOptions) (*FuzzSummary, error) {
	targets, err := findFuzzTargets(ctx, options.Match)
	if err != nil {
		return nil, err
	}
	if len(targets) == 0 {
		return nil, errNoFuzzTarget
	}
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, err
	}
	summary := &FuzzSummary{Started: time.Now().UTC(), Workers: options.Workers, Targets: targets, Findings: []Finding{}}
	run := &fuzzRun{FuzzOptions: options, writer: w, deadline: summary.Started.Add(options.Duration)}
	for first := true; len(targets) > 0 && run.hasTime(ctx); first = false {
		if targets, err = run.runRound(ctx, summary, targets, first); err != nil {
			return summary, err
		}
	}
	for _, target := range summary.Targets {
		summary.Executions += target.Executions
		if options.Persist {
			if err := target.persistInputs(ctx, maxCorpusBytes/len(summary.Targets)); err != nil {
				return summary, err
			}
		}
		if ctx.Err() == nil {
			target.Coverage = target.measureCoverage(ctx)
		}
	}
	summary.Seconds = time.Since(summary.Started).Seconds()
	return summary, summary.write(options.Dir)
}

// A fuzzRun is a run of the long runner.
type fuzzRun struct {
	FuzzOptions
	writer   io.Writer
	deadline time.Time
}

// goesOn reports whether there is time for another time slice.
func (r *fuzzRun) hasTime(ctx context.Context) bool {
	return ctx.Err() == nil && time.Until(r.deadline) >= minTimeSlice
}

// round gives each target a time slice and returns the targets of the next round. A target
// with a finding is not among them, and ends the round: it would find the same again at once.
func (r *fuzzRun) runRound(
	ctx context.Context, summary *FuzzSummary, targets []*FuzzTarget, first bool,
) ([]*FuzzTarget, error) {
	for i, target := range targets {
		if !r.hasTime(ctx) {
			break
		}
		slice := timeSlice(target, time.Until(r.deadline), len(targets)-i, first)
		findings, err := target.run(ctx, slice, r.FuzzOptions, r.writer)
		if err != nil {
			return nil, err
		}
		summary.Findings = append(summary.Findings, findings...)
		if len(findings) > 0 {
			return slices.Delete(slices.Clone(targets), i, i+1), nil
		}
	}
	return targets, nil
}

// timeSlice shares the time that is left between the targets still due in this round and some
// more rounds; a target that found something new gets more of it. In the first round every
// target has its turn.
func timeSlice(target *FuzzTarget, left time.Duration, due int, first bool) time.Duration {
	slice := left / time.Duration(max(1, plannedFuzzRounds*due))
	slice = max(minTimeSlice, min(maxTimeSlice, slice))
	if target.foundCoverage {
		slice = min(newCoverageFactor*slice, maxTimeSlice)
	}
	if first {
		slice = max(minTimeSlice, min(slice, left/time.Duration(due)))
	}
	return min(slice, left)
}
