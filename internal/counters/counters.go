// Package counters holds named counters of what the scheduler accepts, sends and answers. A Set owns its
// values; whoever counts and whoever shows them share one.
package counters

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// ClaimsWritten counts the attempts whose last byte was written.
const ClaimsWritten = "claims.written"

// A Set holds named counters. The zero value is ready; any goroutine may use it.
type Set struct {
	mu      sync.Mutex
	values  map[string]int64
	labeled map[labeledCounter]int64
}

// A part is the part of a counter that belongs to one label, such as a class.
type labeledCounter struct{ name, label string }

// Add increments a counter.
func (s *Set) Add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(name)
}

// AddPart increments a counter and the label's part of it. Labels are never forgotten: they must come
// from the settings, never from input.
func (s *Set) AddLabeled(name, label string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(name)
	if s.labeled == nil {
		s.labeled = map[labeledCounter]int64{}
	}
	s.labeled[labeledCounter{name, label}]++
}

func (s *Set) addLocked(name string) {
	if s.values == nil {
		s.values = map[string]int64{}
	}
	s.values[name]++
}

// Part returns a label's part of a counter.
func (s *Set) GetLabeled(name, label string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.labeled[labeledCounter{name, label}]
}

// Get returns a counter's value.
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

// Print writes a line for each counter that is not zero, sorted by name.
func (s *Set) Print(w io.Writer) {
	values := s.All()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(w, "%s %d\n", name, values[name])
	}
}
