package capacity

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/procfs"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// program is the path of the scheduler's binary, built by TestMain.
var program string

func TestMain(m *testing.M) {
	os.Exit(fleet.RunWithProgram(func(path string) int {
		program = path
		return m.Run()
	}))
}

// Paths of the committed measurements and of the page.
const (
	measurementsPath = "../../../docs/capacity/measured.json"
	pagePath         = "../../../docs/CAPACITY.md"
)

// powerLaw returns a fitted series with the cost fixed + factor*size^slope and a relative range of 0.2 at each size.
func powerLaw(fixed, factor, slope float64, sizes ...int) *Series {
	s := &Series{Name: "s", Of: "things", Unit: "us"}
	for _, size := range sizes {
		y := fixed + factor*math.Pow(float64(size), slope)
		s.addPoint(size, []float64{y, y * 1.1, y * 0.9})
	}
	s.fit()
	return s
}

// checkNear fails the test if got differs from want by more than tolerance, relative to want.
func checkNear(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	if !(math.Abs(got-want) <= tolerance*math.Abs(want)) {
		t.Errorf("%s = %v, want %v (relative tolerance %v)", name, got, want, tolerance)
	}
}

// The fit must recover the slope of a power law, and costAt and sizeAt must agree with it at the measured sizes,
// between them and beyond them, or figures and limits at the target size are wrong.
func TestSeriesFitAndExtrapolation(t *testing.T) {
	s := powerLaw(0, 3, 0.5, 60, 200, 600, 2000, 6000, 19000)
	checkNear(t, "Slope", s.Slope, 0.5, 1e-9)
	checkNear(t, "RelativeRange", s.Points[0].RelativeRange, 0.2, 1e-9)
	if s.Residual > 1e-6 {
		t.Errorf("Residual = %v, want at most 1e-6", s.Residual)
	}
	checkNear(t, "costAt(600), a measured size", s.costAt(600), 3*math.Sqrt(600), 1e-9)
	checkNear(t, "costAt(1000), between measured sizes", s.costAt(1000), 3*math.Sqrt(1000), 1e-9)
	checkNear(t, "costAt(1e6), beyond the measured sizes", s.costAt(1e6), 3e3, 1e-6)
	checkNear(t, "sizeAt() for a size between the measured sizes", s.sizeAt(3*math.Sqrt(1000)), 1000, 1e-6)
	checkNear(t, "sizeAt(3e3), beyond the measured sizes", s.sizeAt(3e3), 1e6, 1e-6)
	if got := powerLaw(5, 0, 1, 60, 600, 6000).sizeAt(6); !math.IsInf(got, 1) {
		t.Errorf("sizeAt(6) of a constant cost of 5 = %v, want +Inf", got)
	}
	// A constant part of the cost hides the slope at the small sizes: only the largest sizes are extrapolated.
	checkNear(t, "costAt(1e6) with a constant part of 100",
		powerLaw(100, 1, 1, 10, 100, 1000, 10_000, 100_000).costAt(1e6), 1e6, 0.15)
}

// A limit that is extrapolated far beyond the target is not precise: it must be shown without a number of its own.
func TestFormatMultiple(t *testing.T) {
	for x, want := range map[float64]string{
		0.055: "0.0550", 2.18: "2.18", 1000: "1000", 1000.1: "over 1000", math.Inf(1): "over 1000",
	} {
		if got := formatMultiple(x); got != want {
			t.Errorf("formatMultiple(%v) = %q, want %q", x, got, want)
		}
	}
	if got := formatMultiple(math.NaN()); got != "not known" {
		t.Errorf("formatMultiple(NaN) = %q, want %q", got, "not known")
	}
}

// Numbers must have three significant digits, and very small ones an exponent, or they would be shown as 0.
func TestFormatNumber(t *testing.T) {
	for x, want := range map[float64]string{
		0: "0", 1234.5: "1234", 12.345: "12.3", 0.012345: "0.0123", 1.26e-9: "1.3e-09", math.Inf(1): "never",
	} {
		if got := formatNumber(x); got != want {
			t.Errorf("formatNumber(%v) = %q, want %q", x, got, want)
		}
	}
}

// The median must be the middle value, or the mean of the two middle values if the number of values is even.
func TestMedian(t *testing.T) {
	for _, c := range []struct {
		sorted []float64
		want   float64
	}{
		{[]float64{7}, 7},
		{[]float64{1, 3}, 2},
		{[]float64{1, 2, 9}, 2},
		{[]float64{1, 2, 4, 9}, 3},
		{[]float64{1, 1, 5, 8, 9}, 5},
	} {
		checkNear(t, fmt.Sprintf("median(%v)", c.sorted), median(c.sorted), c.want, 1e-12)
	}
}

// A cost below the resolution of the clock has a median of 0 and no logarithm: the fit must omit it, or the slope is
// not a number.
func TestFitOmitsZeroMedians(t *testing.T) {
	s := &Series{}
	for _, p := range []Point{{Size: 10}, {Size: 100}, {Size: 1000, Median: 1}, {Size: 10_000, Median: 10}} {
		s.addPoint(p.Size, []float64{p.Median})
	}
	s.fit()
	checkNear(t, "Slope", s.Slope, 1, 1e-9)
	checkNear(t, "sizeAt(100)", s.sizeAt(100), 100_000, 1e-6)
}

// The page shows closed forms beside simulated pools: an error in either must show up as a difference.
func TestClosedFormsMatchSimulatedPools(t *testing.T) {
	checkNear(t, "erlangLossFraction(10, 10)", erlangLossFraction(10, 10), 0.2146, 0.001)
	load := offeredLoad(0.9)
	checkNear(t, "slots in use at offeredLoad(0.9)", load*(1-erlangLossFraction(load, poolSlots)), 0.9*poolSlots, 1e-6)
	urgent, err := measureUrgent(t.Context(), plan{runs: 3, seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range urgent[0].Points[2:] {
		name := fmt.Sprintf("simulated urgent wait with %d slots", p.Size)
		checkNear(t, name, p.Median, urgentWaitEstimate(float64(p.Size)), 0.2)
	}
	gangs, err := measureGangs(t.Context(), plan{runs: 3, seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for i, utilization := range gangUtilizations {
		for _, p := range gangs[i].Points {
			if want := gangFitFraction(float64(utilization)/100, p.Size); math.Abs(p.Median-want) > 0.1 {
				t.Errorf("at %d %% utilization, a gang of %d fits in a fraction %v of the simulated time, want %v",
					utilization, p.Size, p.Median, want)
			}
		}
	}
}

// The committed page must be the page that is rendered from the committed measurements, and Check must detect each
// difference between a page and its measurements.
func TestPageMatchesMeasurements(t *testing.T) {
	if err := CheckFiles(pagePath, measurementsPath); err != nil {
		t.Fatal(err)
	}
	m, err := Load(measurementsPath)
	if err != nil {
		t.Fatal(err)
	}
	page, err := Page(m)
	if err != nil {
		t.Fatal(err)
	}
	position := strings.Index(page, "| control_cpu |") + len("| control_cpu | ")
	changed := page[:position] + string(page[position]+1) + page[position+1:]
	if err := Check(changed, m); !errors.Is(err, errPageDiffers) {
		t.Errorf("Check() of a page with a changed figure = %v, want %v", err, errPageDiffers)
	}
	if err := Check(page+"\nmore", m); !errors.Is(err, errPageDiffers) {
		t.Errorf("Check() of a page with one more line = %v, want %v", err, errPageDiffers)
	}
	if err := Check(page[:len(page)/2], m); !errors.Is(err, errPageDiffers) {
		t.Errorf("Check() of the first half of the page = %v, want %v", err, errPageDiffers)
	}
	for i := range m.Series {
		if m.Series[i].Name == "list.bytes" {
			m.Series[i].Points[len(m.Series[i].Points)-1].Median *= 2
		}
	}
	if err := Check(page, m); !errors.Is(err, errPageDiffers) {
		t.Errorf("Check() with changed measurements = %v, want %v", err, errPageDiffers)
	}
}

// A page must not contain a figure without a source: a figure written into the template, an unknown name of a figure or
// table, and a missing series must be rejected with their names.
func TestPageRejectsMissingSources(t *testing.T) {
	m, err := Load(measurementsPath)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := renderPage("It takes 7 s.", m); !errors.Is(err, errFigureWithoutSource) {
		t.Errorf("renderPage() with a literal figure: error %v, want %v", err, errFigureWithoutSource)
	}
	for _, text := range []string{`{{figure "luck"}}`, `{{table "luck"}}`} {
		_, err := renderPage(text, m)
		if !errors.As(err, new(unknownFigureError)) || !strings.Contains(err.Error(), `"luck"`) {
			t.Errorf("renderPage(%s): error %v, want an unknownFigureError that names \"luck\"", text, err)
		}
	}
	name := m.Series[0].Name
	m.Series = m.Series[1:]
	if _, err := Page(m); !errors.As(err, new(missingSeriesError)) || !strings.Contains(err.Error(), name) {
		t.Errorf("Page() without the series %s: error %v, want a missingSeriesError that names it", name, err)
	}
}

// A file of measurements that is missing, truncated or not from this tool must be rejected with its path; otherwise a
// page would be rendered from no measurements.
func TestLoadRejectsInvalidFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "measured.json")
	if _, err := Load(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Load() of a missing file: error %v, want %v", err, os.ErrNotExist)
	}
	for _, text := range []string{"", "{", "{}", `[1]`, `{"commit":"a","series":[]}`, `{"series":[{"name":"x"}]}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); !errors.Is(err, errNotMeasurements) || !strings.Contains(err.Error(), path) {
			t.Errorf("Load() of %q: error %v, want %v with the path %s", text, err, errNotMeasurements, path)
		}
		if err := CheckFiles(pagePath, path); !errors.Is(err, errNotMeasurements) {
			t.Errorf("CheckFiles() with measurements %q = %v, want %v", text, err, errNotMeasurements)
		}
	}
	m := &Measured{Commit: "a", Series: []Series{*powerLaw(0, 1, 1, 10, 100)}}
	if err := m.Save(path); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(path); err != nil || got.Series[0].Slope != m.Series[0].Slope {
		t.Errorf("Load() after Save() = %+v, %v, want the slope %v", got, err, m.Series[0].Slope)
	}
}

// A run must reject an unknown dimension and sizes out of bounds before it measures anything, and must fail if the tool
// uses too much of the machine's memory.
func TestRunRejectsInvalidOptions(t *testing.T) {
	_, err := Run(t.Context(), new(strings.Builder), Options{Dimensions: []string{"workers", "luck"}})
	if !errors.Is(err, errUnknownDimension) || !strings.Contains(err.Error(), `"luck"`) {
		t.Errorf("Run() with an unknown dimension: error %v, want %v with the name \"luck\"", err, errUnknownDimension)
	}
	for _, o := range []FaultsOptions{
		{Workers: 0, Starts: 5},
		{Workers: maxTrialWorkers + 1, Starts: 5},
		{Workers: 2000},
		{Workers: 2000, Starts: maxTrialStarts + 1},
	} {
		if _, err := o.Run(t.Context(), new(strings.Builder)); !errors.Is(err, errInvalidSize) {
			t.Errorf("Run() with %d workers and %d starts: error %v, want %v", o.Workers, o.Starts, err, errInvalidSize)
		}
	}
	r := &Result{MachineMemory: 1 << 20}
	if err := r.recordMemory(); !errors.Is(err, errTooMuchMemory) {
		t.Errorf("recordMemory() on a machine with 1 MB = %v, want %v", err, errTooMuchMemory)
	}
}

// A complete run must measure processes for longer, more often and at more sizes than a short run, and at all sizes.
func TestShortPlanMeasuresLess(t *testing.T) {
	full, short := plan{}, plan{short: true}
	if full.controlRunsPerSize() <= short.controlRunsPerSize() || full.controlDuration() <= short.controlDuration() {
		t.Errorf("complete run: %d runs of %v per size, short run: %d of %v, want fewer and shorter ones in the short run",
			full.controlRunsPerSize(), full.controlDuration(), short.controlRunsPerSize(), short.controlDuration())
	}
	if n := len(full.sizes(controlSizes...)); n <= len(short.sizes(controlSizes...)) || n != len(controlSizes) {
		t.Errorf("sizes() of a complete run returned %d sizes, want %d and more than in a short run", n, len(controlSizes))
	}
}

// Without workers a job cannot be sent: runJob must return, and startTask must report that the task was not sent.
func TestHollowModuleWithoutWorkers(t *testing.T) {
	h, err := deployment{schedulers: 1, teams: 2}.module()
	if err != nil {
		t.Fatal(err)
	}
	h.runJob(0, 0)
	if h.startTask(1) || h.jobs != 2 {
		t.Errorf("without workers: startTask(1) = true or jobs = %d, want false and 2 jobs", h.jobs)
	}
}

// A short run must measure all dimensions at three sizes or more, so that the last line contains the requirements and
// the lowest limit.
func TestShortRun(t *testing.T) {
	var out strings.Builder
	r, err := Run(t.Context(), &out, Options{Short: true, Program: program, Seed: 1})
	if err != nil {
		t.Fatalf("Run(): %v\n%s", err, &out)
	}
	if line := r.Line(); !strings.Contains(line, "dimensions 8") || strings.Contains(line, "not known") {
		t.Errorf("Line() = %q, want \"dimensions 8\" and no \"not known\"", line)
	}
	for i := range r.Series {
		if len(r.Series[i].Points) < 3 {
			t.Errorf("series %s has %d sizes, want at least 3", r.Series[i].Name, len(r.Series[i].Points))
		}
	}
}

// A run whose context ends must stop the scheduler processes that it has started, or they keep running without it.
func TestInterruptedRunStopsItsProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := measureControl(ctx, plan{short: true, runs: 1, program: program})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("measureControl() = %v, want %v", err, context.DeadlineExceeded)
	}
	procs, err := procfs.AllProcs()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range procs {
		stat, err := p.Stat()
		if err == nil && stat.PPID == os.Getpid() && stat.Comm == "foxlift" {
			t.Errorf("scheduler process %d is still running after measureControl()", stat.PID)
		}
	}
}

// A start with a usable checkpoint must receive only the changes since the checkpoint. A start after any fault of the
// file or of discovery, and each start without checkpoints, receives the complete list. All starts must reach the
// current endpoint list.
func TestStartsWithCheckpoint(t *testing.T) {
	o := FaultsOptions{Program: program, Seed: 2, Workers: 2000, Starts: 12}
	var out strings.Builder
	with, err := o.Run(t.Context(), &out)
	if err != nil {
		t.Fatalf("Run(): %v\n%s", err, &out)
	}
	if !with.OK() || with.WithCheckpoint < 3 || with.WithCheckpoint == with.Starts {
		t.Errorf("result %s, want OK and at least 3 but not all starts with a usable checkpoint\n%s", with.Line(), &out)
	}
	o.WithoutCheckpoint, o.Starts = true, 3
	without, err := o.Run(t.Context(), &out)
	if err != nil {
		t.Fatal(err)
	}
	if without.WithCheckpoint > 0 || without.CompleteBytes < 10*with.CheckpointBytes {
		t.Errorf("with checkpoints: %s\nwithout: %s\nwant no start with a checkpoint and at least 10 times the bytes",
			with.Line(), without.Line())
	}
}

// FaultsResult.OK must report each kind of violation, or the trial passes although a start received too much, ignored a
// usable checkpoint or used an unusable one.
func TestFaultsResultOK(t *testing.T) {
	for name, r := range map[string]*FaultsResult{
		"over its bound":       {WithCheckpoint: 1, ExceededBound: []string{"1"}},
		"checkpoint ignored":   {WithCheckpoint: 1, CheckpointsIgnored: 1},
		"checkpoint misused":   {WithCheckpoint: 1, CheckpointsMisused: 1},
		"no usable checkpoint": {},
		"unclean process exit": {WithCheckpoint: 1, uncleanExit: true},
	} {
		if r.OK() {
			t.Errorf("OK() of a result with %q = true, want false", name)
		}
	}
	if r := (&FaultsResult{WithCheckpoint: 1}); !r.OK() {
		t.Error("OK() of a result without violations = false, want true")
	}
}
