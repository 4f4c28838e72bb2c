package soak

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

var program string // the built binary

func TestMain(m *testing.M) {
	os.Exit(fleet.RunWithProgram(func(built string) int {
		program = built
		return m.Run()
	}))
}

// A short run without mutants must break no rule. The minimum numbers of faults and sends guard
// against a run that checks nothing.
func TestShortSoak(t *testing.T) {
	o := DefaultOptions
	o.Program, o.Seed, o.Duration = program, 1, 6*time.Second
	var log strings.Builder
	r, err := o.Run(&log)
	if err != nil {
		t.Fatal(err)
	}
	if r.Violations.Sum() > 0 || r.Faults < 4 || r.Sends < 200 {
		t.Errorf("Run() = %s, want no violations, at least 4 faults and 200 sends; its log:\n%s", r.Line(), log.String())
	}
}

// A seed must draw the same faults each time, so that a run can be repeated, and a different seed must
// draw different ones. Most faults must overlap with others.
func TestSeedDrawsTheSameFaults(t *testing.T) {
	draw := func(seed uint64) []fault {
		o := DefaultOptions
		o.Seed = seed
		return o.newRun(nil, nil).drawFaults()
	}
	if !reflect.DeepEqual(draw(3), draw(3)) || reflect.DeepEqual(draw(3), draw(4)) {
		t.Error("drawFaults() differs for seed 3 drawn twice, or is equal for seeds 3 and 4")
	}
	if all := draw(3); overlapping(all) < len(all)/2 {
		t.Errorf("overlapping() = %d of %d faults, want at least half", overlapping(all), len(all))
	}
}

// Time in which a scheduler could not reach discovery must delay the moment from which it counts as
// able to receive a change. Another scheduler's partitions must not count.
func TestReachableFrom(t *testing.T) {
	base := time.Now()
	at := func(seconds float64) time.Time { return base.Add(time.Duration(seconds * float64(time.Second))) }
	p := DefaultOptions.newRun(nil, nil)
	p.faultRecord.recordPartition(0, at(10), at(14))
	p.faultRecord.recordPartition(0, at(15), at(16))
	for from, want := range map[float64]float64{1: 1, 3.9: 3.9, 4.1: 16, 12: 16, 14.5: 16, 17: 17} {
		if got := p.reachableFrom(0, at(from)); !got.Equal(at(want)) {
			t.Errorf("reachableFrom(0, %v s) = %v, want %v s", from, got.Sub(base), want)
		}
	}
	if got := p.reachableFrom(1, at(12)); !got.Equal(at(12)) {
		t.Errorf("reachableFrom(1, 12 s) = %v, want 12 s: scheduler 1 had no partition", got.Sub(base))
	}
}

// The source text that a mutant replaces must occur exactly once in its file. Otherwise the mutant
// changes nothing or more than intended, and proves nothing.
func TestMutantsApply(t *testing.T) {
	for _, m := range Mutants {
		text, err := os.ReadFile("../../../" + m.File)
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Errorf("mutant %q: text to replace occurs %d times in %s, want once", m.Name, n, m.File)
		}
	}
}
