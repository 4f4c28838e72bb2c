// Package counters counts what the scheduler takes in, sends and answers.
package counters

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// A Set holds named counters. The zero value is ready; any goroutine may use it.
type Set struct {
	mu     sync.Mutex
	values map[string]int64
}

// Add counts one.
func (s *Set) Add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[string]int64{}
	}
	s.values[name]++
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
