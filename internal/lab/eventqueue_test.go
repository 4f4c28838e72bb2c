package lab

import (
	"slices"
	"testing"
)

// Events run in the order of their due times; events of the same time run in the order in which they were scheduled.
// Events that are scheduled for the current time run before the clock advances.
func TestEventQueueOrder(t *testing.T) {
	var q eventQueue
	var got []string
	add := func(at int64, name string) { q.schedule(at, func() { got = append(got, name) }) }
	add(20, "c")
	add(10, "a")
	q.schedule(10, func() {
		got = append(got, "b")
		add(q.now, "at once")
	})
	add(30, "late")
	for q.advance(30) {
		got = append(got, "|")
	}
	if want := []string{"a", "b", "at once", "|", "c", "|"}; !slices.Equal(got, want) || q.now != 20 {
		t.Errorf("events ran in the order %q until time %d, want %q until 20", got, q.now, want)
	}
}

// A simulated cell serves its jobs, and the same seed gives the same result.
func TestCellSimulation(t *testing.T) {
	var results [2]cellResult
	for i := range results {
		s, err := newCellSimulation(30, 0.7, 1)
		if err != nil {
			t.Fatal(err)
		}
		results[i] = s.run(20)
	}
	if results[0] != results[1] {
		t.Errorf("run(20) = %+v, then %+v with the same seed, want equal results", results[0], results[1])
	}
	if r := results[0]; r.inTimeFraction < 0.5 || r.inTimeFraction > 1 || r.updateFraction <= 0 || r.updateFraction > 1 {
		t.Errorf("run(20) = %+v, want inTimeFraction in [0.5, 1] and updateFraction in (0, 1]", r)
	}
}
