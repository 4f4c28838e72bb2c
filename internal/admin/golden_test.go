package admin

import (
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestResponseBytes checks the bytes of the responses to operators against a golden file.
func TestResponseBytes(t *testing.T) {
	date := regexp.MustCompile(`Date: [^\r]*`)
	s, address := start(t, 8)
	var recorded strings.Builder
	for _, c := range []struct {
		text  string
		ready bool
	}{
		{requestText("GET", PathHealth), true},
		{requestText("GET", PathHealth), false},
		{requestText("GET", PathStats), true},
		{requestText("PUT", PathQuiesce), true},
		{requestText("PUT", PathResume), true},
		{requestText("PUT", PathHealth), true},
		{requestText("GET", PathQuiesce), true},
		{requestText("GET", "/admin"), true},
		{"hello\r\n\r\n", true},
	} {
		s.ready.Store(c.ready)
		conn := dial(t, address, c.text)
		answer, err := io.ReadAll(conn)
		conn.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&recorded, "# %q, ready: %v\n", c.text, c.ready)
		for line := range strings.SplitAfterSeq(date.ReplaceAllString(string(answer), "Date: <date>"), "\n") {
			if line != "" {
				fmt.Fprintf(&recorded, "%q\n", line)
			}
		}
	}
	golden.Check(t, "answers.txt", []byte(recorded.String()))
}
