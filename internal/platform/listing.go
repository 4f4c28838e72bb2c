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

// The bound of a list. A list within it is decoded as it arrives, so that its text is never held
// whole; one over it is refused, since a process that runs out of memory serves nobody.
const (
	designEntries = 19_000 // the fleet that one scheduler is designed to follow (docs/capacity)
	entryBytes    = 512    // of one entry's text; about 126 in a compact list, about 220 in an indented one
	entryMemory   = 2048   // bytes that an entry takes in the list, the core and the module together
	textPart      = 8      // of the memory limit that a list's text may come to,
	entryPart     = 2      // and that its entries may take
)

// A listBound is the most that a list may have.
type listBound struct {
	bytes, entries int64
}

// newListBound returns the bound for a process with a memory limit in bytes.
func newListBound(memory int64) listBound {
	return listBound{
		bytes:   min(designEntries*entryBytes, memory/textPart),
		entries: memory / entryPart / entryMemory,
	}
}

// processBound returns the bound that follows from the runtime's memory limit.
func processBound() listBound { return newListBound(debug.SetMemoryLimit(-1)) }

// An oversizedError says that a list is over its bound: so it will be when it is asked for again.
type oversizedError struct {
	unit string // what is counted
	most int64
}

// Error implements error.
func (e oversizedError) Error() string { return fmt.Sprintf("the list has over %d %s", e.most, e.unit) }

// A listing is discovery's answer.
type listing struct {
	Version *int64      `json:"seq"`
	Whole   bool        `json:"whole"`
	Hosts   []listEntry `json:"hosts"`
}

// A listEntry is an execute node in discovery's answer.
type listEntry struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Zone   string `json:"site"`
	Kind   string `json:"class"`
	Cell   int    `json:"block"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

var healths = map[string]foxlift.WorkerState{
	healthActive: foxlift.Live, healthLeaving: foxlift.Draining, healthLeft: foxlift.Removed,
}

// check returns what is wrong with an entry.
func (e *listEntry) check() error {
	if e.Host == "" {
		return errors.New("host is empty")
	}
	if _, ok := healths[e.Health]; !ok {
		return fmt.Errorf("health is %q", e.Health)
	}
	if _, _, err := net.SplitHostPort(e.Dial); err != nil && e.Health != healthLeft {
		return fmt.Errorf("dial is %q", e.Dial)
	}
	return nil
}

// parseListing reads an answer that is there whole.
func parseListing(text []byte) (*listing, error) {
	return decodeListing(bytes.NewReader(text), newListBound(1<<62).entries)
}

// decodeListing reads an answer of at most so many entries up to its end, one entry after
// another. One that is faulty anywhere is refused whole. It accepts what json.Unmarshal does,
// except for a second "hosts".
func decodeListing(r io.Reader, entries int64) (*listing, error) {
	dec := json.NewDecoder(r)
	if err := expect(dec, '{'); err != nil {
		return nil, err
	}
	var l listing
	for hosts := false; dec.More(); {
		key, err := dec.Token()
		if err != nil {
			return nil, err
		}
		switch name := key.(string); {
		case strings.EqualFold(name, "seq"):
			err = dec.Decode(&l.Version)
		case strings.EqualFold(name, "whole"):
			err = dec.Decode(&l.Whole)
		case strings.EqualFold(name, "hosts") && hosts:
			err = errors.New("hosts is there twice")
		case strings.EqualFold(name, "hosts"):
			hosts = true
			err = l.decodeHosts(dec, entries)
		default:
			err = dec.Decode(&json.RawMessage{})
		}
		if err != nil {
			return nil, err
		}
	}
	if err := expect(dec, '}'); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); err != io.EOF {
		if err == nil {
			err = errors.New("something follows the list")
		}
		return nil, err
	}
	if l.Version == nil {
		return nil, errors.New("seq is missing")
	}
	return &l, nil
}

// decodeHosts reads the entries, at most so many; null counts as none.
func (l *listing) decodeHosts(dec *json.Decoder, most int64) error {
	if token, err := dec.Token(); err != nil || token == nil {
		return err
	} else if token != json.Delim('[') {
		return fmt.Errorf("hosts is %v", token)
	}
	for i := int64(0); dec.More(); i++ {
		if i >= most {
			return oversizedError{"entries", most}
		}
		l.Hosts = append(l.Hosts, listEntry{})
		e := &l.Hosts[i]
		err := dec.Decode(e)
		if err == nil {
			err = e.check()
		}
		if err != nil {
			return fmt.Errorf("hosts[%d]: %w", i, err)
		}
	}
	return expect(dec, ']')
}

// expect reads a token that has to be this one.
func expect(dec *json.Decoder, want json.Delim) error {
	token, err := dec.Token()
	if err == nil && token != want {
		err = fmt.Errorf("%v where %v should be", token, want)
	}
	return err
}

// parseKnown reads the list as last known before the start; nil if there is none.
func parseKnown(known []byte) (*listing, error) {
	if len(known) == 0 || string(known) == "null" {
		return nil, nil
	}
	l, err := parseListing(known)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	l.Whole = true
	return l, nil
}

// ValidateCachedEndpoints checks the list as last known before the start.
func ValidateCachedEndpoints(known []byte) error {
	_, err := parseKnown(known)
	return err
}
