package platform

// What a node says of a job, line by line.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

// A note is one line of a node's answer.
type stateLine struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Result string `json:"result"`

	Load json.RawMessage `json:"load"`
}

// parseStateLine reads a line. One that says a thing twice is garbled: encoding/json would
// take the last word, and names in any case, so that "failed" could be hidden by "done".
func parseStateLine(line []byte) (n stateLine, err error) {
	if err := json.Unmarshal(line, &n); err != nil {
		return n, err
	}
	if !mayRepeatName(line) {
		return n, nil
	}
	var seen []string
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.UseNumber()
	for depth, key := 0, false; ; {
		token, err := dec.Token()
		if err == io.EOF {
			return n, nil
		} else if err != nil {
			return n, err
		}
		switch t := token.(type) {
		case json.Delim:
			if t == '{' || t == '[' {
				depth++
			} else {
				depth--
			}
			key = depth == 1
			continue
		case string:
			if depth == 1 && key {
				if slices.ContainsFunc(seen, func(s string) bool { return strings.EqualFold(s, t) }) {
					return n, fmt.Errorf("%q is there twice", t)
				}
				seen = append(seen, t)
			}
		}
		key = depth == 1 && !key
	}
}

// mayRepeatName is a look at the bytes alone: whether a name that counts can be there
// twice. Escapes, and letters that fold into ASCII ones, are looked at closely.
func mayRepeatName(line []byte) bool {
	for _, c := range line {
		if c == '\\' || c >= 0x80 {
			return true
		}
	}
	lower := bytes.ToLower(line)
	for _, name := range []string{`"id"`, `"state"`, `"result"`, `"load"`} {
		if bytes.Count(lower, []byte(name)) > 1 {
			return true
		}
	}
	return false
}

// minAnswerLead is how long an answer has begun before the job starts where nodes answer as soon as they have
// taken a request, not when they start on it.
const minAnswerLead = 20 * time.Millisecond

var finalCodes = map[string]foxlift.Code{
	stateDone: foxlift.Served, stateFailed: foxlift.WorkerError,
	stateReturned: foxlift.Saturated, stateLost: foxlift.Reset,
}

// readStates reads the lines of a node's answer, up to the body's proper end: a
// body that breaks off serves nothing, whatever it has said. An error means that
// the connection is of no more use.
func (a *attempt) readStates(body io.Reader) (core.Report, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResponse)
	var final *core.Report
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		n, err := parseStateLine(line)
		if err != nil {
			return finalReport(foxlift.Reset), err
		}
		if n.ID != a.job.ID || final != nil {
			return finalReport(foxlift.Reset), fmt.Errorf("a line that does not belong here")
		}
		switch code, isLast := finalCodes[n.State]; {
		case isLast:
			final = &core.Report{Ended: true, Code: code}
			if code == foxlift.Served {
				final.Result = []byte(n.Result)
			}
			final.Load, final.HasLoad = a.pool.loadReports.object(n.Load)
		case n.State == stateStarted:
			if time.Since(a.trace.answeredAt) > minAnswerLead {
				a.pool.answersBeforeStart.Store(true)
			}
			a.report(core.Report{})
		case n.State == stateRunning:
			a.report(core.Report{Progress: true})
		} // a state of a later protocol says nothing here
	}
	if err := lines.Err(); err != nil {
		return finalReport(foxlift.Reset), err
	}
	if final == nil {
		return finalReport(foxlift.Reset), io.ErrUnexpectedEOF
	}
	return *final, nil
}
