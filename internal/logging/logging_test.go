package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// However much input causes a line, few of it are written; each is one JSON object.
func TestLimited(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	limited := Limited(l)
	for range 900 {
		limited.Warn("bad input")
	}
	limited.Warn("another wording")
	l.Debug("below the level")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if n := len(lines); n < 2 || n > 3*perSecond+1 { // a few seconds, on a slow machine
		t.Errorf("%d lines", n)
	}
	for _, line := range lines {
		var v map[string]any
		if err := json.Unmarshal([]byte(line), &v); err != nil || v["msg"] == "" {
			t.Errorf("%q: %v", line, err)
		}
	}
	for _, bad := range [][2]string{{"xml", "info"}, {"json", "loud"}} {
		if _, err := New(&out, bad[0], bad[1]); err == nil {
			t.Errorf("%v is taken", bad)
		}
	}
}
