package capacity

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/procfs"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// program is the scheduler's binary.
var program string

func TestMain(m *testing.M) {
	os.Exit(fleet.RunWithProgram(func(path string) int {
		program = path
		return m.Run()
	}))
}

// The files of the tree.
const (
	measurementsPath = "../../../docs/capacity/measured.json"
	pagePath         = "../../../docs/CAPACITY.md"
)

// powerLaw is a series with a part that does not grow.
func powerLaw(fixed, factor, slope float64, sizes ...int) *Series {
	s := &Series{Name: "s", Of: "things", Unit: "us"}
	for _, size := range sizes {
		y := fixed + factor*math.Pow(float64(size), slope)
		s.addPoint(size, []float64{y, y * 1.1, y * 0.9})
	}
	s.fit()
	return s
}

func checkNear(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	if !(math.Abs(got-want) <= tolerance*math.Abs(want)) {
		t.Errorf("%s: %v, want %v", name, got, want)
	}
}

// A power law is found again, and its crossing of a bound, between the sizes and beyond them.
func TestSlope(t *testing.T) {
	s := powerLaw(0, 3, 0.5, 60, 200, 600, 2000, 6000, 19000)
	checkNear(t, "slope", s.Slope, 0.5, 1e-9)
	checkNear(t, "spread", s.Points[0].RelativeRange, 0.2, 1e-9)
	if s.Residual > 1e-6 {
		t.Errorf("residual %v", s.Residual)
	}
	checkNear(t, "at a size", s.costAt(600), 3*math.Sqrt(600), 1e-9)
	checkNear(t, "between sizes", s.costAt(1000), 3*math.Sqrt(1000), 1e-9)
	checkNear(t, "beyond", s.costAt(1e6), 3e3, 1e-6)
	checkNear(t, "bound between", s.sizeAt(3*math.Sqrt(1000)), 1000, 1e-6)
	checkNear(t, "bound beyond", s.sizeAt(3e3), 1e6, 1e-6)
	if got := powerLaw(5, 0, 1, 60, 600, 6000).sizeAt(6); !math.IsInf(got, 1) {
		t.Errorf("a cost that does not grow reaches a bound at %v", got)
	}
	// A part that does not grow hides the slope at the small sizes: beyond, the largest ones tell.
	checkNear(t, "beyond with a fixed part", powerLaw(100, 1, 1, 10, 100, 1000, 10_000, 100_000).costAt(1e6), 1e6, 0.15)
}

// A slope that reaches a budget far beyond the target tells no more than that.
func TestMultiple(t *testing.T) {
	for x, want := range map[float64]string{
		0.055: "0.0550", 2.18: "2.18", 1000: "1000", 1000.1: "over 1000", math.Inf(1): "over 1000",
	} {
		if got := formatMultiple(x); got != want {
			t.Errorf("%v: %s, want %s", x, got, want)
		}
	}
	if got := formatMultiple(math.NaN()); got != "not known" {
		t.Errorf("not known: %s", got)
	}
}

// Figures are written with three digits that count; very small ones with an exponent.
func TestFormatNumber(t *testing.T) {
	for x, want := range map[float64]string{
		0: "0", 1234.5: "1234", 12.345: "12.3", 0.012345: "0.0123", 1.26e-9: "1.3e-09", math.Inf(1): "never",
	} {
		if got := formatNumber(x); got != want {
			t.Errorf("%v: %s, want %s", x, got, want)
		}
	}
}

// The median is the middle one, or the mean of the two in the middle.
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
		checkNear(t, "median", median(c.sorted), c.want, 1e-12)
	}
}

// A cost under what the clock can tell has no logarithm: it is left out of the line.
func TestSlopeOmitsZeroMedians(t *testing.T) {
	s := &Series{}
	for _, p := range []Point{{Size: 10}, {Size: 100}, {Size: 1000, Median: 1}, {Size: 10_000, Median: 10}} {
		s.addPoint(p.Size, []float64{p.Median})
	}
	s.fit()
	checkNear(t, "slope", s.Slope, 1, 1e-9)
	checkNear(t, "bound", s.sizeAt(100), 100_000, 1e-6)
}

// The closed forms and the hollow pools tell the same.
func TestClosedFormsAndHollowPoolsAgree(t *testing.T) {
	checkNear(t, "Erlang's loss, 10 erlangs on 10 slots", erlangLossFraction(10, 10), 0.2146, 0.001)
	load := offeredLoad(0.9)
	checkNear(t, "slots in use", load*(1-erlangLossFraction(load, poolSlots)), 0.9*poolSlots, 1e-6)
	urgent, err := measureUrgent(t.Context(), plan{runs: 3, seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range urgent[0].Points[2:] {
		checkNear(t, "urgent wait", p.Median, urgentWaitEstimate(float64(p.Size)), 0.2)
	}
	gangs, err := measureGangs(t.Context(), plan{runs: 3, seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for i, use := range gangUtilizations {
		for _, p := range gangs[i].Points {
			if want := gangFitFraction(float64(use)/100, p.Size); math.Abs(p.Median-want) > 0.1 {
				t.Errorf("%d %% in use: room for %d in %v of the time, closed form %v", use, p.Size, p.Median, want)
			}
		}
	}
}

// The page of the tree is what the measurements of the tree give; one changed figure is found.
func TestPageIsWhatWasMeasured(t *testing.T) {
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
		t.Errorf("a changed figure: %v", err)
	}
	if err := Check(page+"\nmore", m); !errors.Is(err, errPageDiffers) {
		t.Errorf("a longer page: %v", err)
	}
	if err := Check(page[:len(page)/2], m); !errors.Is(err, errPageDiffers) {
		t.Errorf("half of the page: %v", err)
	}
	for i := range m.Series {
		if m.Series[i].Name == "list.bytes" {
			m.Series[i].Points[len(m.Series[i].Points)-1].Median *= 2
		}
	}
	if err := Check(page, m); !errors.Is(err, errPageDiffers) {
		t.Errorf("the page of other measurements: %v", err)
	}
}

// A figure that no formula gives, one that is written by hand, and a missing series are named.
func TestPageWithoutSource(t *testing.T) {
	m, err := Load(measurementsPath)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := renderPage("It takes 7 s.", m); !errors.Is(err, errFigureWithoutSource) {
		t.Errorf("a figure by hand: %v", err)
	}
	for _, text := range []string{`{{figure "luck"}}`, `{{table "luck"}}`} {
		_, err := renderPage(text, m)
		if !errors.As(err, new(unknownFigureError)) || !strings.Contains(err.Error(), `"luck"`) {
			t.Errorf("%s: %v", text, err)
		}
	}
	name := m.Series[0].Name
	m.Series = m.Series[1:]
	if _, err := Page(m); !errors.As(err, new(missingSeriesError)) || !strings.Contains(err.Error(), name) {
		t.Errorf("without the series %s: %v", name, err)
	}
}

// A file of measurements that is missing, torn or foreign is refused by name.
func TestLoadRefuses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "measured.json")
	if _, err := Load(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing: %v", err)
	}
	for _, text := range []string{"", "{", "{}", `[1]`, `{"commit":"a","series":[]}`, `{"series":[{"name":"x"}]}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); !errors.Is(err, errNotMeasurements) || !strings.Contains(err.Error(), path) {
			t.Errorf("%q: %v", text, err)
		}
		if err := CheckFiles(pagePath, path); !errors.Is(err, errNotMeasurements) {
			t.Errorf("check of %q: %v", text, err)
		}
	}
	m := &Measured{Commit: "a", Series: []Series{*powerLaw(0, 1, 1, 10, 100)}}
	if err := m.Save(path); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(path); err != nil || got.Series[0].Slope != m.Series[0].Slope {
		t.Errorf("%+v, %v", got, err)
	}
}

// An unknown dimension is named before anything is measured, and a tool that takes too much of the
// machine stops.
func TestRunRefuses(t *testing.T) {
	_, err := Run(t.Context(), new(strings.Builder), Options{Dimensions: []string{"workers", "luck"}})
	if !errors.Is(err, errUnknownDimension) || !strings.Contains(err.Error(), `"luck"`) {
		t.Errorf("unknown dimension: %v", err)
	}
	for _, o := range []FaultsOptions{
		{Workers: 0, Starts: 5},
		{Workers: maxTrialWorkers + 1, Starts: 5},
		{Workers: 2000},
		{Workers: 2000, Starts: maxTrialStarts + 1},
	} {
		if _, err := o.Run(t.Context(), new(strings.Builder)); !errors.Is(err, errInvalidSize) {
			t.Errorf("%d workers, %d starts: %v", o.Workers, o.Starts, err)
		}
	}
	r := &Result{MachineMemory: 1 << 20}
	if err := r.recordMemory(); !errors.Is(err, errTooMuchMemory) {
		t.Errorf("on a machine of 1 MB: %v", err)
	}
}

// A full run measures a process longer and more often than a short one.
func TestPlan(t *testing.T) {
	full, short := plan{}, plan{short: true}
	if full.controlRunsPerSize() <= short.controlRunsPerSize() || full.controlDuration() <= short.controlDuration() {
		t.Errorf("%d runs of %v, short %d of %v",
			full.controlRunsPerSize(), full.controlDuration(), short.controlRunsPerSize(), short.controlDuration())
	}
	if n := len(full.sizes(controlSizes...)); n <= len(short.sizes(controlSizes...)) || n != len(controlSizes) {
		t.Errorf("%d sizes", n)
	}
}

// A job that has no worker to go to is neither run nor started.
func TestHollowModuleWithoutWorkers(t *testing.T) {
	h, err := deployment{schedulers: 1, teams: 2}.module()
	if err != nil {
		t.Fatal(err)
	}
	h.runJob(0, 0)
	if h.startTask(1) || h.jobs != 2 {
		t.Errorf("a task started without a worker, %d jobs", h.jobs)
	}
}

// A short run measures all dimensions, and its last line tells all that the page rests on.
func TestShortRun(t *testing.T) {
	var out strings.Builder
	r, err := Run(t.Context(), &out, Options{Short: true, Program: program, Seed: 1})
	if err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	if line := r.Line(); !strings.Contains(line, "dimensions 8") || strings.Contains(line, "not known") {
		t.Error(line)
	}
	for i := range r.Series {
		if len(r.Series[i].Points) < 3 {
			t.Errorf("%s: %d sizes", r.Series[i].Name, len(r.Series[i].Points))
		}
	}
}

// A run that is interrupted ends its processes.
func TestInterruptedRunStopsItsProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := measureControl(ctx, plan{short: true, runs: 1, program: program})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("ended with %v", err)
	}
	procs, err := procfs.AllProcs()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range procs {
		stat, err := p.Stat()
		if err == nil && stat.PPID == os.Getpid() && stat.Comm == "foxlift" {
			t.Errorf("process %d is left", stat.PID)
		}
	}
}

// Starts with a list that was kept take the changes since, whatever else happens to the file and to
// discovery take the whole list; both come to the list as it is. Without a list each start takes all.
func TestStartsWithACheckpoint(t *testing.T) {
	o := FaultsOptions{Program: program, Seed: 2, Workers: 2000, Starts: 12}
	var out strings.Builder
	with, err := o.Run(t.Context(), &out)
	if err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	if !with.OK() || with.WithCheckpoint < 3 || with.WithCheckpoint == with.Starts {
		t.Errorf("%s\n%s", with.Line(), &out)
	}
	o.WithoutCheckpoint, o.Starts = true, 3
	without, err := o.Run(t.Context(), &out)
	if err != nil {
		t.Fatal(err)
	}
	if without.WithCheckpoint > 0 || without.CompleteBytes < 10*with.CheckpointBytes {
		t.Errorf("with: %s\nwithout: %s", with.Line(), without.Line())
	}
}

// The judge sees a start that took the whole list though one was kept, and one that took too much.
func TestFaultsAreJudged(t *testing.T) {
	for name, r := range map[string]*FaultsResult{
		"over its bound": {WithCheckpoint: 1, ExceededBound: []string{"1"}},
		"not used":       {WithCheckpoint: 1, CheckpointsIgnored: 1},
		"used wrongly":   {WithCheckpoint: 1, CheckpointsMisused: 1},
		"nothing kept":   {},
		"bad end":        {WithCheckpoint: 1, uncleanExit: true},
	} {
		if r.OK() {
			t.Errorf("%s: OK", name)
		}
	}
	if r := (&FaultsResult{WithCheckpoint: 1}); !r.OK() {
		t.Error("nothing happened, and it is not OK")
	}
}
