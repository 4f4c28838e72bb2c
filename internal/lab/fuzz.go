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
	Workers  int
	Dir      string // where findings and the summary go
	Persist  bool   // take new inputs into the corpus of the repository
	Match    string // of targets' names; "": all
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
