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

// loadParser parses workers' load reports. It returns the gauges that the settings name, in the order of the settings.
// An invalid report is counted and treated as missing; the answer that contains it stays valid.
type loadParser struct {
	names    []string // gauge names of the settings; without any, reports are ignored
	counters *counters.Set
}

// maxGaugeValue is the maximum valid value of a gauge. No real gauge reaches it.
const maxGaugeValue = 1e9

// loadGauges holds the gauge values of a load report, in the order of the settings; unused ones at the end are 0.
type loadGauges = [foxlift.MaxGauges]float64

// parseHeader parses a report in the headers of an answer; false if there is no valid report. values are the values of
// the report's header; more than one is invalid.
func (p loadParser) parseHeader(values []string) (loadGauges, bool) {
	switch {
	case len(p.names) == 0 || len(values) == 0:
		return loadGauges{}, false
	case len(values) > 1:
		return p.countInvalid(loadGauges{}, errors.New("load report header appears twice"))
	}
	return p.countInvalid(parseLoad(values[0], p.names))
}

// parseObject parses a report in the final line of an answer; false if there is no valid report.
func (p loadParser) parseObject(text json.RawMessage) (loadGauges, bool) {
	if len(p.names) == 0 || len(text) == 0 || string(text) == "null" {
		return loadGauges{}, false
	}
	return p.countInvalid(parseLoadObject(text, p.names))
}

// parseBody parses the body of an answer to a health check, which is a JSON object or has the form of the header;
// false if it is not a valid report. The settings must name at least one gauge.
func (p loadParser) parseBody(text []byte) (loadGauges, bool) {
	if text = bytes.TrimSpace(text); bytes.HasPrefix(text, []byte("{")) {
		return p.parseObject(text)
	}
	return p.countInvalid(parseLoad(string(text), p.names))
}

// countInvalid counts an invalid report if err is not nil. It returns values and whether the report is valid.
func (p loadParser) countInvalid(values loadGauges, err error) (loadGauges, bool) {
	if err != nil {
		p.counters.Add("loads.faulty")
	}
	return values, err == nil
}

// loadReport collects the gauges of a report while it is parsed. A valid report has each name of the settings exactly
// once, with a number from 0 to maxGaugeValue; other names are ignored.
type loadReport struct {
	names   []string
	values  loadGauges
	present [foxlift.MaxGauges]bool
}

// set records the value of a gauge. It ignores a gauge that the settings do not name, and returns an error for a
// duplicate or an invalid value.
func (r *loadReport) set(name, value string) error {
	i := slices.Index(r.names, name)
	if i < 0 || i >= len(r.values) {
		return nil
	}
	if r.present[i] {
		return fmt.Errorf("gauge %q appears twice", name)
	}
	gauge, err := strconv.ParseFloat(value, 64)
	if err != nil || !(gauge >= 0 && gauge <= maxGaugeValue) {
		return fmt.Errorf("gauge %q has value %q, want a number from 0 to %g", name, value, maxGaugeValue)
	}
	r.values[i], r.present[i] = gauge, true
	return nil
}

// complete returns the values, or an error if a gauge is missing.
func (r *loadReport) complete() (loadGauges, error) {
	for i, name := range r.names[:min(len(r.names), len(r.values))] {
		if !r.present[i] {
			return loadGauges{}, fmt.Errorf("gauge %q is missing", name)
		}
	}
	return r.values, nil
}

// parseLoad parses a report of the form name=value,name=value, with the same results and errors as parseLoadObject.
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

// parseLoadObject parses a report of the form {"name":value,...}. It returns the values of the gauges in names, in that
// order, or an error if one of them is missing, appears twice or is not a number from 0 to maxGaugeValue. Other gauges
// are ignored.
func parseLoadObject(text []byte, names []string) (loadGauges, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return loadGauges{}, errors.New("load report is not a JSON object")
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
		return loadGauges{}, errors.New("unexpected data after the load report")
	}
	return report.complete()
}
