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

// A short run breaks no rule, and there was something to see.
func TestShortSoak(t *testing.T) {
	o := DefaultOptions
	o.Program, o.Seed, o.Duration = program, 1, 6*time.Second
	var log strings.Builder
	r, err := o.Run(&log)
	if err != nil {
		t.Fatal(err)
	}
	if r.Violations.Sum() > 0 || r.Faults < 4 || r.Sends < 200 {
		t.Errorf("%s\n%s", r.Line(), log.String())
	}
}

// A seed draws the same faults again, another one others.
func TestSeedDrawsTheSameFaults(t *testing.T) {
	draw := func(seed uint64) []fault {
		o := DefaultOptions
		o.Seed = seed
		return o.newRun(nil, nil).drawFaults()
	}
	if !reflect.DeepEqual(draw(3), draw(3)) || reflect.DeepEqual(draw(3), draw(4)) {
		t.Error("the faults are not drawn from the seed alone")
	}
	if all := draw(3); overlapping(all) < len(all)/2 {
		t.Errorf("%d of %d faults overlap", overlapping(all), len(all))
	}
}

// A change counts as known later by the time in which discovery could not be reached.
func TestReachableFrom(t *testing.T) {
	base := time.Now()
	at := func(seconds float64) time.Time { return base.Add(time.Duration(seconds * float64(time.Second))) }
	p := DefaultOptions.newRun(nil, nil)
	p.faultRecord.recordPartition(0, at(10), at(14))
	p.faultRecord.recordPartition(0, at(15), at(16))
	for from, want := range map[float64]float64{1: 1, 3.9: 3.9, 4.1: 16, 12: 16, 14.5: 16, 17: 17} {
		if got := p.reachableFrom(0, at(from)); !got.Equal(at(want)) {
			t.Errorf("from %v: %v, want %v", from, got.Sub(base), want)
		}
	}
	if got := p.reachableFrom(1, at(12)); !got.Equal(at(12)) {
		t.Error("another scheduler's link counts")
	}
}

// Each mutant's text is in the source just once.
func TestMutantsApply(t *testing.T) {
	for _, m := range Mutants {
		text, err := os.ReadFile("../../../" + m.File)
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Errorf("%s: its text stands %d times in %s", m.Name, n, m.File)
		}
	}
}
