package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// loads reads nodes' load reports: the values that the settings name, in their order. A
// report that is faulty counts as none, and the answer that brought it stands.
type loads struct {
	names    []string
	counters *counters.Set
}

// maxGauge is the most that a value of a report may be: no node holds as much of anything.
const maxGauge = 1e9

type load = [foxlift.MaxGauges]float64

// header reads a report in an answer's head; there may be none.
func (l loads) header(values []string) (load, bool) {
	switch {
	case len(l.names) == 0 || len(values) == 0:
		return load{}, false
	case len(values) > 1:
		return l.judged(load{}, errors.New("it is there twice"))
	}
	return l.judged(parseLoad(values[0], l.names))
}

// object reads a report in the last line of an answer; there may be none.
func (l loads) object(text json.RawMessage) (load, bool) {
	if len(l.names) == 0 || len(text) == 0 || string(text) == "null" {
		return load{}, false
	}
	return l.judged(parseLoadObject(text, l.names))
}

// body reads a report that is the whole answer to a probe, in either form.
func (l loads) body(text []byte) (load, bool) {
	if text = bytes.TrimSpace(text); bytes.HasPrefix(text, []byte("{")) {
		return l.object(text)
	}
	return l.judged(parseLoad(string(text), l.names))
}

func (l loads) judged(values load, err error) (load, bool) {
	if err != nil {
		l.counters.Add("loads.faulty")
	}
	return values, err == nil
}

// A sheet is a report that is being read: of the names that the settings have each once,
// with a number within bounds. Other names may hold anything.
type sheet struct {
	names  []string
	values load
	there  [foxlift.MaxGauges]bool
}

func (s *sheet) set(name, value string) error {
	i := slices.Index(s.names, name)
	if i < 0 || i >= len(s.values) {
		return nil
	}
	if s.there[i] {
		return fmt.Errorf("%q is there twice", name)
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x >= 0 && x <= maxGauge) {
		return fmt.Errorf("%q is not a number from 0 to %g", name, maxGauge)
	}
	s.values[i], s.there[i] = x, true
	return nil
}

// whole returns the values once all of them are there.
func (s *sheet) whole() (load, error) {
	for i, name := range s.names[:min(len(s.names), len(s.values))] {
		if !s.there[i] {
			return load{}, fmt.Errorf("%q is missing", name)
		}
	}
	return s.values, nil
}

// parseLoad reads name=value,name=value.
func parseLoad(text string, names []string) (load, error) {
	s := sheet{names: names}
	for part := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if err := s.set(name, value); err != nil {
			return load{}, err
		}
	}
	return s.whole()
}

// parseLoadObject reads {"name":value,...}.
func parseLoadObject(text []byte, names []string) (load, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return load{}, errors.New("not an object")
	}
	s := sheet{names: names}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return load{}, err
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return load{}, err
		}
		if err := s.set(name.(string), string(value)); err != nil {
			return load{}, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return load{}, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return load{}, errors.New("more than an object")
	}
	return s.whole()
}
