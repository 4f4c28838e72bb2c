package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// Input could flood the log. A limited logger writes only a sample of the lines with the same message, each as
// one JSON object.
func TestRateLimited(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	limited := RateLimited(log)
	for range 900 {
		limited.Warn("bad input")
	}
	limited.Warn("another message")
	log.Debug("below the level")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if n := len(lines); n < 2 || n > 3*linesPerSecond+1 { // a few seconds, on a slow machine
		t.Errorf("%d lines are written, want 2 to %d", n, 3*linesPerSecond+1)
	}
	for _, line := range lines {
		var v map[string]any
		if err := json.Unmarshal([]byte(line), &v); err != nil || v["msg"] == "" {
			t.Errorf("line %q: error %v or no message, want a JSON object with msg", line, err)
		}
	}
}

// New returns an error for an unknown format or level.
func TestInvalidFlags(t *testing.T) {
	for _, flags := range [][2]string{{"xml", "info"}, {"json", "loud"}} {
		if _, err := New(&bytes.Buffer{}, flags[0], flags[1]); err == nil {
			t.Errorf("New() accepts format %q and level %q, want an error", flags[0], flags[1])
		}
	}
}

// New accepts each combination of Formats and Levels.
func TestFlags(t *testing.T) {
	for _, format := range Formats {
		for _, level := range Levels {
			if _, err := New(&bytes.Buffer{}, format, level); err != nil {
				t.Errorf("New() with format %s and level %s: %v", format, level, err)
			}
		}
	}
}
