package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// However often input causes a line, only some are written; each is one JSON object.
func TestLimited(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	limited := Limited(log)
	for range 900 {
		limited.Warn("bad input")
	}
	limited.Warn("another message")
	log.Debug("below the level")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if n := len(lines); n < 2 || n > 3*linesPerSecond+1 { // a few seconds, on a slow machine
		t.Errorf("%d lines", n)
	}
	for _, line := range lines {
		var v map[string]any
		if err := json.Unmarshal([]byte(line), &v); err != nil || v["msg"] == "" {
			t.Errorf("%q: %v", line, err)
		}
	}
}

// A logger with another format or level than those that exist is an error.
func TestInvalidFlags(t *testing.T) {
	for _, flags := range [][2]string{{"xml", "info"}, {"json", "loud"}} {
		if _, err := New(&bytes.Buffer{}, flags[0], flags[1]); err == nil {
			t.Errorf("%v is accepted", flags)
		}
	}
}

// Each name of a format and of a level is accepted.
func TestFlags(t *testing.T) {
	for _, format := range Formats {
		for _, level := range Levels {
			if _, err := New(&bytes.Buffer{}, format, level); err != nil {
				t.Errorf("%s, %s: %v", format, level, err)
			}
		}
	}
}
