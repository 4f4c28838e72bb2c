package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strings"

	"github.com/vatu-meals/foxlift"
)

// Parameters of the bound on an endpoint list. A list within the bound is decoded as it arrives, so that its text is
// never in memory as a whole. A list over it is rejected, because it could make the process run out of memory.
const (
	designEndpoints      = 19_000 // workers of the fleet that one scheduler is designed for (docs/capacity)
	bytesPerEntry        = 512    // allowed on average; a compact entry has about 126 bytes, an indented one about 220
	memoryPerEntry       = 2048   // bytes that an entry takes in the table, the core and the module together
	textMemoryDivisor    = 8      // the text of a list may have at most 1/8 as many bytes as the memory limit
	entriesMemoryDivisor = 2      // the entries of a list may take at most 1/2 of the memory limit
)

// responseBound holds the maximum size of an endpoint list.
type responseBound struct {
	bytes, entries int64 // size of the text, and number of entries
}

// newResponseBound returns the bound for a process whose memory limit is memory bytes.
func newResponseBound(memory int64) responseBound {
	return responseBound{
		bytes:   min(designEndpoints*bytesPerEntry, memory/textMemoryDivisor),
		entries: memory / entriesMemoryDivisor / memoryPerEntry,
	}
}

// processResponseBound returns the bound for the memory limit of the Go runtime.
func processResponseBound() responseBound { return newResponseBound(debug.SetMemoryLimit(-1)) }

// oversizedError is the error for a list over its bound. The next call is expected to fail in the same way.
type oversizedError struct {
	unit  string // "bytes" or "entries"
	limit int64
}

// Error implements error.
func (e oversizedError) Error() string {
	return fmt.Sprintf("endpoint list exceeds the limit of %d %s", e.limit, e.unit)
}

// endpointsResponse is discovery's response: a complete endpoint list, or the entries changed since a version. Version
// is the version of the list with the response applied; decodeResponse never leaves it nil.
type endpointsResponse struct {
	Version   *int64          `json:"seq"`
	Complete  bool            `json:"whole"`
	Endpoints []endpointEntry `json:"hosts"`
}

// endpointEntry is a worker's entry in discovery's response. StartedMilli is the start of the worker's process in Unix
// milliseconds; a value that is not positive means long ago.
type endpointEntry struct {
	ID           string `json:"host"`
	Address      string `json:"dial"`
	Zone         string `json:"site"`
	Kind         string `json:"class"`
	Cell         int    `json:"block"`
	Health       string `json:"health"`
	StartedMilli int64  `json:"born_ms"`
}

// workerStates maps the health names in discovery's protocol to worker states.
var workerStates = map[string]foxlift.WorkerState{
	healthActive: foxlift.Live, healthLeaving: foxlift.Draining, healthRemoved: foxlift.Removed,
}

// validate returns an error if the entry lacks a worker ID, has an unknown health or, unless the worker is removed,
// has no valid address.
func (e *endpointEntry) validate() error {
	if e.ID == "" {
		return errors.New(`"host" is missing or empty`)
	}
	if _, ok := workerStates[e.Health]; !ok {
		return fmt.Errorf(`"health" has unknown value %q`, e.Health)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && e.Health != healthRemoved {
		return fmt.Errorf(`"dial" is %q, want host:port`, e.Address)
	}
	return nil
}

// parseEndpoints decodes a response that is in memory, without a bound on its entries that matters in practice.
func parseEndpoints(text []byte) (*endpointsResponse, error) {
	return decodeResponse(bytes.NewReader(text), newResponseBound(1<<62).entries)
}

// decodeResponse decodes a response of at most maxEntries entries from r up to the end of r, entry by entry. It
// returns an oversizedError for more entries, and an error if any part of the response is invalid or "seq" is missing.
// It accepts the same JSON objects as json.Unmarshal, except that "hosts" may appear only once.
func decodeResponse(r io.Reader, maxEntries int64) (*endpointsResponse, error) {
	dec := json.NewDecoder(r)
	if err := expectDelim(dec, '{'); err != nil {
		return nil, err
	}
	var response endpointsResponse
	for seenHosts := false; dec.More(); {
		key, err := dec.Token()
		if err != nil {
			return nil, err
		}
		switch name := key.(string); {
		case strings.EqualFold(name, "seq"):
			err = dec.Decode(&response.Version)
		case strings.EqualFold(name, "whole"):
			err = dec.Decode(&response.Complete)
		case strings.EqualFold(name, "hosts") && seenHosts:
			err = errors.New(`"hosts" appears twice`)
		case strings.EqualFold(name, "hosts"):
			seenHosts = true
			err = response.decodeEndpoints(dec, maxEntries)
		default:
			err = dec.Decode(&json.RawMessage{})
		}
		if err != nil {
			return nil, err
		}
	}
	if err := expectDelim(dec, '}'); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		if err == nil {
			err = errors.New("unexpected data after the endpoint list")
		}
		return nil, err
	}
	if response.Version == nil {
		return nil, errors.New(`"seq" is missing`)
	}
	return &response, nil
}

// decodeEndpoints decodes the array of entries; null counts as no entries. It stops with an oversizedError after
// maxEntries entries, and with an error that names the index at an invalid entry.
func (r *endpointsResponse) decodeEndpoints(dec *json.Decoder, maxEntries int64) error {
	if token, err := dec.Token(); err != nil || token == nil {
		return err
	} else if token != json.Delim('[') {
		return fmt.Errorf(`"hosts" begins with %v, want an array`, token)
	}
	for i := int64(0); dec.More(); i++ {
		if i >= maxEntries {
			return oversizedError{"entries", maxEntries}
		}
		r.Endpoints = append(r.Endpoints, endpointEntry{})
		entry := &r.Endpoints[i]
		err := dec.Decode(entry)
		if err == nil {
			err = entry.validate()
		}
		if err != nil {
			return fmt.Errorf("hosts[%d]: %w", i, err)
		}
	}
	return expectDelim(dec, ']')
}

// expectDelim reads the next token and returns an error if it is not want.
func expectDelim(dec *json.Decoder, want json.Delim) error {
	token, err := dec.Token()
	if err == nil && token != want {
		err = fmt.Errorf("unexpected JSON token %v, want %v", token, want)
	}
	return err
}

// parseCached decodes the cached list, which was saved before the start of this process; nil if it is empty or null.
// The result counts as a complete list. The error for an invalid list names its configuration key.
func parseCached(cached []byte) (*endpointsResponse, error) {
	if len(cached) == 0 || string(cached) == "null" {
		return nil, nil
	}
	response, err := parseEndpoints(cached)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	response.Complete = true
	return response, nil
}

// ValidateCachedEndpoints returns an error if cached, an endpoint list that was saved before the start of this process,
// is invalid. An empty list or null is valid.
func ValidateCachedEndpoints(cached []byte) error {
	_, err := parseCached(cached)
	return err
}
