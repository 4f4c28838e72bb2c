package service

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Send is one transmission of a job to the scheduler.
type Send struct {
	StartedAt, EndedAt time.Time
	Port               string // the client's; empty if no connection was made
	NewConnection      bool   // the connection had carried nothing before
	Outcome            Outcome
	Err                error // what happened, if there was no answer
}

// A Record is one job with all its sends.
type JobRecord struct {
	ID, Class string
	Sends     []Send
	Status    int // of its answer; 0 if there was none
}

// last is the send that decided the job's outcome.
func (r JobRecord) lastSend() Send { return r.Sends[len(r.Sends)-1] }

// Lost reports whether the job has no whole answer.
func (r JobRecord) Lost() bool { return r.lastSend().Outcome != Answered }

// Text tells the job's sends, with times since a moment.
func (r JobRecord) Describe(since time.Time) string {
	var sends []string
	for _, s := range r.Sends {
		text := fmt.Sprintf("sent at %.3f s from port %q (fresh: %v), %s at %.3f s",
			s.StartedAt.Sub(since).Seconds(), s.Port, s.NewConnection, s.Outcome, s.EndedAt.Sub(since).Seconds())
		if s.Err != nil {
			text += " (" + s.Err.Error() + ")"
		}
		sends = append(sends, text)
	}
	return fmt.Sprintf("job %s: %s", r.ID, strings.Join(sends, ", then "))
}

// Latencies are recorded in microseconds, up to a minute.
const (
	latencyUnit   = time.Microsecond
	maxLatency    = time.Minute
	latencyDigits = 3
)

// A Tally counts jobs by what became of them.
type Tally struct {
	Sent         int
	Answers      map[string]Responses // by class
	Rejected     int                  // 4xx but 429: the scheduler did not take the job
	WrongResults []JobRecord          // answered 200, with another job's result or none
	Lost         []JobRecord
	Unread       []JobRecord // Unread at least once
	Latency      *hdrhistogram.Histogram
}

func newTally() Tally {
	return Tally{
		Answers: map[string]Responses{},
		Latency: hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits),
	}
}

// add counts a job that has ended, with the answer's body.
func (t *Tally) add(r JobRecord, body string) {
	t.Sent++
	for _, s := range r.Sends {
		if s.Outcome == Unread {
			t.Unread = append(t.Unread, r)
			break
		}
	}
	if r.Lost() {
		t.Lost = append(t.Lost, r)
		return
	}
	latency := r.lastSend().EndedAt.Sub(r.Sends[0].StartedAt)
	_ = t.Latency.RecordValue(int64(latency / latencyUnit)) // fails beyond maxLatency: such jobs are left out
	responses := t.Answers[r.Class]
	switch {
	case r.Status == http.StatusOK:
		responses.OK++
		if !strings.Contains(body, resultOf(r)) {
			t.WrongResults = append(t.WrongResults, r)
		}
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
		responses.Shed++
	case r.Status/100 == 4:
		t.Rejected++
	default:
		responses.Errors++
	}
	t.Answers[r.Class] = responses
}

// resultOf is the beginning of a job's result, as a stand-in worker words it.
func resultOf(r JobRecord) string { return fmt.Sprintf("%s of %s by ", r.ID, r.Class) }

// Total is the sum of the answers over all classes.
func (t Tally) Total() (sum Responses) {
	for _, r := range t.Answers {
		sum.OK += r.OK
		sum.Shed += r.Shed
		sum.Errors += r.Errors
	}
	return sum
}

// Line is the tally in one line.
func (t Tally) Line() string {
	sum := t.Total()
	at := func(percent float64) float64 {
		return (time.Duration(t.Latency.ValueAtQuantile(percent)) * latencyUnit).Seconds()
	}
	answers := fmt.Sprintf("jobs %d: ok %.0f, shed %.0f, errors %.0f, rejected %d",
		t.Sent, sum.OK, sum.Shed, sum.Errors, t.Rejected)
	failures := fmt.Sprintf("lost %d, wrong %d, turned back unheard %d",
		len(t.Lost), len(t.WrongResults), len(t.Unread))
	latencies := fmt.Sprintf("answered after %.3f s at the median, %.3f s at 99 %%, %.3f s at most",
		at(50), at(99), at(100))
	return answers + ", " + failures + "; " + latencies
}
