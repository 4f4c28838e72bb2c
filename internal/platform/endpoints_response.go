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

// The bound of an endpoint list. A list within it is decoded as it arrives, so that its text is never in memory as a
// whole; one over it is rejected, since a process that runs out of memory serves nobody.
const (
	designEndpoints      = 19_000 // of the fleet that one scheduler is designed for (docs/capacity)
	bytesPerEntry        = 512    // of one entry's text; about 126 in a compact list, about 220 in an indented one
	memoryPerEntry       = 2048   // bytes that an entry takes in the table, the core and the module together
	textMemoryDivisor    = 8      // of the memory limit that a list's text may come to,
	entriesMemoryDivisor = 2      // and that its entries may take
)

// A responseBound is the most that an endpoint list may have.
type responseBound struct {
	bytes, entries int64
}

// newResponseBound returns the bound for a process with a memory limit in bytes.
func newResponseBound(memory int64) responseBound {
	return responseBound{
		bytes:   min(designEndpoints*bytesPerEntry, memory/textMemoryDivisor),
		entries: memory / entriesMemoryDivisor / memoryPerEntry,
	}
}

// processResponseBound returns the bound that follows from the runtime's memory limit.
func processResponseBound() responseBound { return newResponseBound(debug.SetMemoryLimit(-1)) }

// An oversizedError says that a list is over its bound. It will be so again at the next call.
type oversizedError struct {
	unit  string // "bytes" or "entries"
	limit int64
}

// Error implements error.
func (e oversizedError) Error() string {
	return fmt.Sprintf("the list has over %d %s", e.limit, e.unit)
}

// An endpointsResponse is discovery's response: a complete endpoint list, or a delta.
type endpointsResponse struct {
	Version   *int64          `json:"seq"`
	Complete  bool            `json:"whole"`
	Endpoints []endpointEntry `json:"hosts"`
}

// An endpointEntry is a worker in discovery's response.
type endpointEntry struct {
	ID           string `json:"host"`
	Address      string `json:"dial"`
	Zone         string `json:"site"`
	Kind         string `json:"class"`
	Cell         int    `json:"block"`
	Health       string `json:"health"`
	StartedMilli int64  `json:"born_ms"`
}

var workerStates = map[string]foxlift.WorkerState{
	healthActive: foxlift.Live, healthLeaving: foxlift.Draining, healthRemoved: foxlift.Removed,
}

// validate returns what is wrong with an entry.
func (e *endpointEntry) validate() error {
	if e.ID == "" {
		return errors.New("host is empty")
	}
	if _, ok := workerStates[e.Health]; !ok {
		return fmt.Errorf("health is %q", e.Health)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && e.Health != healthRemoved {
		return fmt.Errorf("dial is %q", e.Address)
	}
	return nil
}

// parseEndpoints reads a response that is in memory.
func parseEndpoints(text []byte) (*endpointsResponse, error) {
	return decodeResponse(bytes.NewReader(text), newResponseBound(1<<62).entries)
}

// decodeResponse reads a response of at most so many entries up to its end, one entry after another. One that is
// invalid anywhere is rejected altogether. It accepts what json.Unmarshal does, except for a second "hosts".
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
			err = errors.New("hosts is there twice")
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
			err = errors.New("something follows the list")
		}
		return nil, err
	}
	if response.Version == nil {
		return nil, errors.New("seq is missing")
	}
	return &response, nil
}

// decodeEndpoints reads the entries, at most max; null counts as none.
func (r *endpointsResponse) decodeEndpoints(dec *json.Decoder, maxEntries int64) error {
	if token, err := dec.Token(); err != nil || token == nil {
		return err
	} else if token != json.Delim('[') {
		return fmt.Errorf("hosts is %v", token)
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

// expectDelim reads a token that has to be want.
func expectDelim(dec *json.Decoder, want json.Delim) error {
	token, err := dec.Token()
	if err == nil && token != want {
		err = fmt.Errorf("%v where %v should be", token, want)
	}
	return err
}

// parseCached reads the cached list, from before the start; nil if there is none.
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

// ValidateCachedEndpoints checks a cached list, from before the start.
func ValidateCachedEndpoints(cached []byte) error {
	_, err := parseCached(cached)
	return err
}
