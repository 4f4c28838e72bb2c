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

// Options are the options of a run.
type Options struct {
	Dimensions []string // names of the dimensions to measure; empty: all
	Short      bool     // measure few and small sizes
	Program    string   // path of the scheduler's binary, for the dimension control
	Seed       uint64   // of the random numbers of simulations
}

// A Result contains the measurements of a run and the resources that the run used.
type Result struct {
	Measured
	Dimensions    int     // number of dimensions that were measured
	PeakMemory    float64 // most bytes that the tool obtained from the system
	MachineMemory float64 // the machine's memory in bytes
	Processes     int     // most scheduler processes that ran at a time
}

// memoryLimitDivisor bounds the memory of the tool: the machine's memory divided by memoryLimitDivisor.
const memoryLimitDivisor = 2

// errTooMuchMemory reports that the tool uses too much of the machine's memory.
var errTooMuchMemory = errors.New("the measurements use more than half of the machine's memory")

// Run measures the requested dimensions and prints each series to out. It stops the processes that it has started, also
// when ctx is cancelled.
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

// summary returns the series as one line of text.
func (s *Series) summary() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%d: %.4g", p.Size, p.Median))
	}
	return fmt.Sprintf("%-26s %-40s slope %5.2f, residual %4.1f %% (%s by %s)",
		s.Name, strings.Join(points, ", "), s.Slope, s.Residual, s.Unit, s.Of)
}

// recordMemory updates PeakMemory. It fails if PeakMemory exceeds the machine's memory divided by memoryLimitDivisor.
func (r *Result) recordMemory() error {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.PeakMemory = max(r.PeakMemory, float64(m.Sys))
	if r.PeakMemory > r.MachineMemory/memoryLimitDivisor {
		return fmt.Errorf("%w: %.1f of %.1f GB", errTooMuchMemory, gigabytes(r.PeakMemory), gigabytes(r.MachineMemory))
	}
	return nil
}

// Line returns the last line that a run prints. Requirements and the lowest limit are in it only if all series that the
// page needs were measured.
func (r *Result) Line() string {
	maxResidual, slopes := 0.0, 0
	for i := range r.Series {
		if r.Series[i].Slope != 0 {
			slopes++
			maxResidual = max(maxResidual, r.Series[i].Residual)
		}
	}
	metCount, requirements, limit := "-", "-", "not known (not all dimensions measured)"
	if a, err := newAssessment(&r.Measured); err == nil {
		lowest := a.lowestLimit()
		metCount, requirements = fmt.Sprint(a.metCount()), fmt.Sprint(len(a.requirements))
		limit = fmt.Sprintf("%s at %.3g of the target", lowest.Name, lowest.Fraction)
	}
	return fmt.Sprintf("capacity: dimensions %d, slopes %d (worst residual %.1f %%), requirements met %s of %s, "+
		"lowest limit %s, memory %.1f GB of %.1f, processes %d",
		r.Dimensions, slopes, maxResidual, metCount, requirements, limit,
		gigabytes(r.PeakMemory), gigabytes(r.MachineMemory), r.Processes)
}

// gigabytes converts bytes to binary gigabytes.
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
		return 0, errors.New("/proc/meminfo does not contain MemTotal")
	}
	return float64(*info.MemTotalBytes), nil
}

// currentCommit returns the short hash of the commit that is measured, or "unknown" outside of a checkout.
func currentCommit(ctx context.Context) string {
	out, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
