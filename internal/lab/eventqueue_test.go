package lab

import (
	"slices"
	"testing"
)

// Events run in the order of their time, at one time in the order in which they were scheduled, and
// those scheduled for the present run before the clock moves on.
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
		t.Errorf("%q at %d, want %q", got, q.now, want)
	}
}

// A simulated cell answers its jobs, and the same seed gives the same result.
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
		t.Errorf("%+v and %+v from one seed", results[0], results[1])
	}
	if r := results[0]; r.inTimeFraction < 0.5 || r.inTimeFraction > 1 || r.updateFraction <= 0 || r.updateFraction > 1 {
		t.Errorf("%+v", r)
	}
}
