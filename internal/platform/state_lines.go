package platform

import (
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

// A stateLine is one line of a worker's answer, which reports a state of the job.
type stateLine struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Result string `json:"result"`

	Load json.RawMessage `json:"load"`
}

// parseStateLine parses a line. It rejects a line that repeats one of the stateLine names in any case, since
// encoding/json ignores case and takes the last value: a "done" could hide a "failed". Names in nested values are
// not compared, and a repeat of another name may pass.
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

// mayRepeatName reports whether a line may contain one of the stateLine names twice, without parsing it. It returns
// true for a line with escapes or non-ASCII letters, some of which fold to ASCII ones.
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

// minAnswerLead is the minimum time from the head of an answer to the "started" line that shows that a worker answers
// when it accepts a job, not when it starts it.
const minAnswerLead = 20 * time.Millisecond

// finalCodes maps the states that end an attempt to its outcome.
var finalCodes = map[string]foxlift.Code{
	stateDone: foxlift.Served, stateFailed: foxlift.WorkerError,
	stateReturned: foxlift.Saturated, stateLost: foxlift.Reset,
}

var errUnexpectedLine = errors.New("state line of another job or after the final state")

// readStates reads the state lines of a worker's answer to the end of the body, reports "started" and "running" at once
// and returns the final report. If the body is incomplete or a line is invalid, the final state does not count and the
// outcome is foxlift.Reset. An error means that the connection cannot be reused.
func (a *attempt) readStates(body io.Reader) (core.Report, error) {
	lines := newLineReader(body, func() error { return a.pool.acquireLongAnswer(a.ctx) })
	defer func() {
		if lines.isLong() {
			a.pool.releaseLongAnswer()
		}
	}()
	var final *core.Report
	for lines.next() {
		line := bytes.TrimSpace(lines.line)
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
		} // unknown states, from a later protocol version, are ignored
	}
	if lines.err != nil {
		return finalReport(foxlift.Reset), lines.err
	}
	if final == nil {
		return finalReport(foxlift.Reset), io.ErrUnexpectedEOF
	}
	return *final, nil
}
