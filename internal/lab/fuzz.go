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

// FuzzOptions are the parameters of RunFuzzTargets.
type FuzzOptions struct {
	Duration time.Duration // of the whole run
	Workers  int           // processes that fuzz concurrently
	Dir      string        // folder for the findings and the summary
	Persist  bool          // add new inputs to the corpus in the repository
	Match    string        // regular expression for the targets' names; "": all
}

// A Finding is an input for which a fuzz target failed.
type Finding struct {
	Target string `json:"target"`
	File   string `json:"file"`   // path of the copied input; "" if go test wrote none
	Replay string `json:"replay"` // command that runs the target with the input
	Output string `json:"output"` // last lines of go test
}

// A FuzzSummary is the result of RunFuzzTargets, stored as summary.json.
type FuzzSummary struct {
	Started    time.Time     `json:"started"`
	Seconds    float64       `json:"seconds"`
	Workers    int           `json:"workers"`
	Targets    []*FuzzTarget `json:"targets"`
	Executions int64         `json:"executions"`
	Findings   []Finding     `json:"findings"`
}

// Line returns the summary that the command prints as its last line.
func (s *FuzzSummary) Line() string {
	return fmt.Sprintf("fuzz: targets %d, executions %d, findings %d", len(s.Targets), s.Executions, len(s.Findings))
}

// write writes the summary to summary.json in a folder.
func (s *FuzzSummary) write(dir string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "summary.json"), append(text, '\n'), 0o644)
}

const (
	minTimeSlice       = 4 * time.Second // go test needs one second of it to start
	maxTimeSlice       = 60 * time.Second
	newCoverageFactor  = 3       // factor of the time slice of a target that found new coverage in its last slice
	plannedFuzzRounds  = 3       // rounds over which the remaining time is shared
	maxCorpusBytes     = 2 << 20 // of the repository's corpora, shared equally by the targets
	maxCorpusInputSize = 4 << 10 // bytes of a persisted input
)

// errNoFuzzTarget reports that no fuzz target of the module has a matching name.
var errNoFuzzTarget = errors.New("no fuzz target of the module matches")

// RunFuzzTargets runs the matching fuzz targets of the module in the current folder in turn, until the time is over or
// ctx ends, and writes the summary. It needs the go command. Measuring the coverage afterwards takes additional time.
// A finding is no error: it is in the summary, and its target is not run again. RunFuzzTargets returns an error if no
// target matches, or if a target cannot be built or a file cannot be written; it then writes no summary.
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

// A fuzzRun is the state of a call of RunFuzzTargets.
type fuzzRun struct {
	FuzzOptions
	writer   io.Writer
	deadline time.Time
}

// hasTime reports whether there is time for another time slice.
func (r *fuzzRun) hasTime(ctx context.Context) bool {
	return ctx.Err() == nil && time.Until(r.deadline) >= minTimeSlice
}

// runRound runs each target for a time slice and returns the targets of the next round. A target with a finding ends
// the round and is not among them, because it would find the same again at once.
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

// timeSlice returns how long to run a target. It shares the remaining time among the targets that are still due in this
// round, over plannedFuzzRounds rounds; a target that found new coverage gets more. In the first round the slice leaves
// each due target an equal share, so that every target runs at least once.
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
