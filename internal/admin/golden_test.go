package admin

import (
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestAnswerBytes pins the answers to operators' calls.
func TestAnswerBytes(t *testing.T) {
	date := regexp.MustCompile(`Date: [^\r]*`)
	s, address := start(t, 8)
	var said strings.Builder
	for _, c := range []struct {
		text  string
		ready bool
	}{
		{get("GET", PathHealth), true},
		{get("GET", PathHealth), false},
		{get("GET", PathStats), true},
		{get("PUT", PathQuiesce), true},
		{get("PUT", PathResume), true},
		{get("PUT", PathHealth), true},
		{get("GET", PathQuiesce), true},
		{get("GET", "/admin"), true},
		{"hello\r\n\r\n", true},
	} {
		s.ready.Store(c.ready)
		conn := dial(t, address, c.text)
		answer, err := io.ReadAll(conn)
		conn.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&said, "# %q, ready: %v\n", c.text, c.ready)
		for line := range strings.SplitAfterSeq(date.ReplaceAllString(string(answer), "Date: <date>"), "\n") {
			if line != "" {
				fmt.Fprintf(&said, "%q\n", line)
			}
		}
	}
	golden.Check(t, "answers.txt", []byte(said.String()))
}
