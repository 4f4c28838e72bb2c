// Package counters implements named counters of the jobs that the scheduler accepts, sends and answers, and
// of other events. A Set owns its values; the code that counts and the code that displays counters share one.
package counters

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// ClaimsWritten is the name of the counter of attempts that were written completely.
const ClaimsWritten = "claims.written"

// A Set holds named counters. The zero value is an empty Set. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	values  map[string]int64         // by counter name, including the labeled counts
	labeled map[labeledCounter]int64 // the part of each label
}

// A labeledCounter identifies the part of a counter that was counted with one label, such as a class.
type labeledCounter struct{ name, label string }

// Add increments a counter.
func (s *Set) Add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(name)
}

// AddLabeled increments a counter and its part for a label. Labels are never removed: to bound the memory,
// they must come from the settings, never from input.
func (s *Set) AddLabeled(name, label string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(name)
	if s.labeled == nil {
		s.labeled = map[labeledCounter]int64{}
	}
	s.labeled[labeledCounter{name, label}]++
}

// addLocked increments a counter. The caller holds mu.
func (s *Set) addLocked(name string) {
	if s.values == nil {
		s.values = map[string]int64{}
	}
	s.values[name]++
}

// GetLabeled returns the part of a counter that was counted with a label, 0 if there is none.
func (s *Set) GetLabeled(name, label string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.labeled[labeledCounter{name, label}]
}

// Get returns the value of a counter, 0 if it was never incremented.
func (s *Set) Get(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[name]
}

// All returns a copy of the counters that are not zero.
func (s *Set) All() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

// Print writes a line with name and value for each counter that is not zero, sorted by name.
func (s *Set) Print(w io.Writer) {
	values := s.All()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(w, "%s %d\n", name, values[name])
	}
}
