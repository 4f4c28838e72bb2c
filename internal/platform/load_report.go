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

// A loadParser reads workers' load reports: the gauges that the settings name, in their order. An invalid report
// counts as none, and the answer that brought it stands.
type loadParser struct {
	names    []string
	counters *counters.Set
}

// maxGauge is the most that a gauge of a report may be: no worker has as much of anything.
const maxGaugeValue = 1e9

type loadGauges = [foxlift.MaxGauges]float64

// header reads a report in the head of an answer; false if there is none.
func (p loadParser) parseHeader(values []string) (loadGauges, bool) {
	switch {
	case len(p.names) == 0 || len(values) == 0:
		return loadGauges{}, false
	case len(values) > 1:
		return p.countInvalid(loadGauges{}, errors.New("it is there twice"))
	}
	return p.countInvalid(parseLoad(values[0], p.names))
}

// object reads a report in the last line of an answer; false if there is none.
func (p loadParser) parseObject(text json.RawMessage) (loadGauges, bool) {
	if len(p.names) == 0 || len(text) == 0 || string(text) == "null" {
		return loadGauges{}, false
	}
	return p.countInvalid(parseLoadObject(text, p.names))
}

// body reads a report that is the body of an answer to a health check, in either form.
func (p loadParser) parseBody(text []byte) (loadGauges, bool) {
	if text = bytes.TrimSpace(text); bytes.HasPrefix(text, []byte("{")) {
		return p.parseObject(text)
	}
	return p.countInvalid(parseLoad(string(text), p.names))
}

// counted counts an invalid report.
func (p loadParser) countInvalid(values loadGauges, err error) (loadGauges, bool) {
	if err != nil {
		p.counters.Add("loads.faulty")
	}
	return values, err == nil
}

// A loadReport is a report that is being read: each name of the settings once, with a number within bounds. Other
// names may have any value.
type loadReport struct {
	names   []string
	values  loadGauges
	present [foxlift.MaxGauges]bool
}

func (r *loadReport) set(name, value string) error {
	i := slices.Index(r.names, name)
	if i < 0 || i >= len(r.values) {
		return nil
	}
	if r.present[i] {
		return fmt.Errorf("%q is there twice", name)
	}
	gauge, err := strconv.ParseFloat(value, 64)
	if err != nil || !(gauge >= 0 && gauge <= maxGaugeValue) {
		return fmt.Errorf("%q is not a number from 0 to %g", name, maxGaugeValue)
	}
	r.values[i], r.present[i] = gauge, true
	return nil
}

// complete returns the values, if all of them are there.
func (r *loadReport) complete() (loadGauges, error) {
	for i, name := range r.names[:min(len(r.names), len(r.values))] {
		if !r.present[i] {
			return loadGauges{}, fmt.Errorf("%q is missing", name)
		}
	}
	return r.values, nil
}

// parseLoad reads name=value,name=value.
func parseLoad(text string, names []string) (loadGauges, error) {
	report := loadReport{names: names}
	for part := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if err := report.set(name, value); err != nil {
			return loadGauges{}, err
		}
	}
	return report.complete()
}

// parseLoadObject reads {"name":value,...}.
func parseLoadObject(text []byte, names []string) (loadGauges, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return loadGauges{}, errors.New("not an object")
	}
	report := loadReport{names: names}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return loadGauges{}, err
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return loadGauges{}, err
		}
		if err := report.set(name.(string), string(value)); err != nil {
			return loadGauges{}, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return loadGauges{}, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return loadGauges{}, errors.New("more than an object")
	}
	return report.complete()
}
