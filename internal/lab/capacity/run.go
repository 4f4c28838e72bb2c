package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"github.com/prometheus/procfs"
)

// Options say what a run measures.
type Options struct {
	Dimensions []string // none: all
	Short      bool     // few and small sizes
	Program    string   // the scheduler's binary, for the dimension control
	Seed       uint64
}

// A Result is what a run has measured, and what it took.
type Result struct {
	Measured
	Dimensions    int
	PeakMemory    float64 // bytes that the tool had at most
	MachineMemory float64 // bytes of the machine's memory
	Processes     int     // that ran at a time
}

// memoryDivisor is by how much the machine's memory is divided into what the tool may take.
const maxMemoryDivisor = 2

// errTooMuchMemory says that the tool would take too much of the machine's memory.
var errTooMuchMemory = errors.New("the machine's memory would not do: over half of it would be taken")

// Run measures the chosen dimensions and prints each series. It ends what it has started, also when
// ctx ends.
func Run(ctx context.Context, out io.Writer, o Options) (*Result, error) {
	chosen, err := chooseDimensions(o.Dimensions)
	if err != nil {
		return nil, err
	}
	result := &Result{Measured: Measured{Commit: currentCommit(ctx), Short: o.Short}, Dimensions: len(chosen)}
	if result.MachineMemory, err = machineMemory(); err != nil {
		return nil, err
	}
	p := plan{short: o.Short, runs: runsPerSize, seed: o.Seed, program: o.Program}
	for _, d := range chosen {
		startedAt := time.Now()
		series, err := d.measure(ctx, p)
		if err != nil {
			return nil, err
		}
		if d.processes != nil {
			result.Processes = max(result.Processes, d.processes(p))
		}
		result.Series = append(result.Series, series...)
		for i := range series {
			fmt.Fprintln(out, series[i].summary())
		}
		fmt.Fprintf(out, "%s: %.1f s\n", d.name, time.Since(startedAt).Seconds())
		if err := result.recordMemory(); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// summary is the series in one line.
func (s *Series) summary() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%d: %.4g", p.Size, p.Median))
	}
	return fmt.Sprintf("%-26s %-40s slope %5.2f, residual %4.1f %% (%s by %s)",
		s.Name, strings.Join(points, ", "), s.Slope, s.Residual, s.Unit, s.Of)
}

// recordMemory records what the tool has taken, and fails where that is too much.
func (r *Result) recordMemory() error {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.PeakMemory = max(r.PeakMemory, float64(m.Sys))
	if r.PeakMemory > r.MachineMemory/maxMemoryDivisor {
		return fmt.Errorf("%w: %.1f of %.1f GB", errTooMuchMemory, gigabytes(r.PeakMemory), gigabytes(r.MachineMemory))
	}
	return nil
}

// Line is the run's last line.
func (r *Result) Line() string {
	worst, slopes := 0.0, 0
	for i := range r.Series {
		if r.Series[i].Slope != 0 {
			slopes++
			worst = max(worst, r.Series[i].Residual)
		}
	}
	metCount, requirements, limit := "-", "-", "not known, since not all was measured"
	if a, err := newAssessment(&r.Measured); err == nil {
		lowest := a.lowestLimit()
		metCount, requirements = fmt.Sprint(a.metCount()), fmt.Sprint(len(a.requirements))
		limit = fmt.Sprintf("%s at %.3g of the target", lowest.Name, lowest.Fraction)
	}
	return fmt.Sprintf("capacity: dimensions %d, slopes %d (worst residual %.1f %%), lines carried %s of %s, "+
		"first wall %s, memory %.1f GB of %.1f, processes %d",
		r.Dimensions, slopes, worst, metCount, requirements, limit,
		gigabytes(r.PeakMemory), gigabytes(r.MachineMemory), r.Processes)
}

// gigabytes converts bytes; a GB is binary.
func gigabytes(bytes float64) float64 { return bytes / (kilobyte * megabyte) }

// machineMemory returns the machine's memory in bytes.
func machineMemory() (float64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	info, err := fs.Meminfo()
	if err != nil {
		return 0, err
	}
	if info.MemTotalBytes == nil {
		return 0, errors.New("the machine does not tell its memory")
	}
	return float64(*info.MemTotalBytes), nil
}

// currentCommit names the tree that is measured; "unknown" outside of a checkout.
func currentCommit(ctx context.Context) string {
	out, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
