package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

// A stateLine is one line of a worker's answer: a state of the job.
type stateLine struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Result string `json:"result"`

	Load json.RawMessage `json:"load"`
}

// parseStateLine reads a line. One that repeats a name is garbled: encoding/json would take the last value, and names
// in any case, so that "failed" could be hidden by "done".
func parseStateLine(line []byte) (parsed stateLine, err error) {
	if err := json.Unmarshal(line, &parsed); err != nil {
		return parsed, err
	}
	if !mayRepeatName(line) {
		return parsed, nil
	}
	var names []string
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.UseNumber()
	for depth, expectName := 0, false; ; {
		token, err := dec.Token()
		if errors.Is(err, io.EOF) {
			return parsed, nil
		} else if err != nil {
			return parsed, err
		}
		switch value := token.(type) {
		case json.Delim:
			if value == '{' || value == '[' {
				depth++
			} else {
				depth--
			}
			expectName = depth == 1
			continue
		case string:
			if depth == 1 && expectName {
				if slices.ContainsFunc(names, func(s string) bool { return strings.EqualFold(s, value) }) {
					return parsed, fmt.Errorf("%q is there twice", value)
				}
				names = append(names, value)
			}
		}
		expectName = depth == 1 && !expectName
	}
}

// mayRepeatName reports, from the bytes alone, whether a name that matters can be there twice. Lines with escapes, or
// with letters that fold into ASCII ones, have to be parsed to tell.
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

// minAnswerLead is by how much an answer begins before the job starts where workers answer as soon as they have taken
// a request, not when they start on it.
const minAnswerLead = 20 * time.Millisecond

// finalCodes are the states that end an attempt.
var finalCodes = map[string]foxlift.Code{
	stateDone: foxlift.Served, stateFailed: foxlift.WorkerError,
	stateReturned: foxlift.Saturated, stateLost: foxlift.Reset,
}

var errUnexpectedLine = errors.New("a line of another job, or after the final state")

// readStates reads the lines of a worker's answer, up to the body's proper end: a body that breaks off serves nothing,
// whatever its lines were. An error means that the connection cannot be reused.
func (a *attempt) readStates(body io.Reader) (core.Report, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResponseBytes)
	var final *core.Report
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		state, err := parseStateLine(line)
		if err != nil {
			return finalReport(foxlift.Reset), err
		}
		if state.ID != a.job.ID || final != nil {
			return finalReport(foxlift.Reset), errUnexpectedLine
		}
		switch code, isLast := finalCodes[state.State]; {
		case isLast:
			final = &core.Report{Ended: true, Code: code}
			if code == foxlift.Served {
				final.Result = []byte(state.Result)
			}
			final.Load, final.HasLoad = a.pool.loadParser.parseObject(state.Load)
		case state.State == stateStarted:
			if time.Since(a.trace.answeredAt) > minAnswerLead {
				a.pool.answersBeforeStart.Store(true)
			}
			a.report(core.Report{})
		case state.State == stateRunning:
			a.report(core.Report{Progress: true})
		} // unknown states, of a later protocol, are ignored
	}
	if err := lines.Err(); err != nil {
		return finalReport(foxlift.Reset), err
	}
	if final == nil {
		return finalReport(foxlift.Reset), io.ErrUnexpectedEOF
	}
	return *final, nil
}
