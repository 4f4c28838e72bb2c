package service

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Send is one transmission of a job to the scheduler.
type Send struct {
	StartedAt, EndedAt time.Time
	Port               string // the client's local port; empty if no connection was made
	NewConnection      bool   // the connection had carried no earlier request
	Outcome            Outcome
	Err                error // the reason if Outcome is not Answered
}

// JobRecord is one job with all its sends.
type JobRecord struct {
	ID, Class string
	Sends     []Send
	Status    int // of the response; 0 if there was none
}

// lastSend returns the send that decided the job's outcome.
func (r JobRecord) lastSend() Send { return r.Sends[len(r.Sends)-1] }

// Lost reports whether the job got no complete response.
func (r JobRecord) Lost() bool { return r.lastSend().Outcome != Answered }

// Describe lists the job's sends for reports, with times relative to since.
func (r JobRecord) Describe(since time.Time) string {
	var sends []string
	for _, s := range r.Sends {
		text := fmt.Sprintf("sent at %.3f s from port %q (new connection: %v), %s at %.3f s",
			s.StartedAt.Sub(since).Seconds(), s.Port, s.NewConnection, s.Outcome, s.EndedAt.Sub(since).Seconds())
		if s.Err != nil {
			text += " (" + s.Err.Error() + ")"
		}
		sends = append(sends, text)
	}
	return fmt.Sprintf("job %s: %s", r.ID, strings.Join(sends, ", then "))
}

// The unit, the upper limit and the significant decimal digits of recorded latencies.
const (
	latencyUnit   = time.Microsecond
	maxLatency    = time.Minute
	latencyDigits = 3
)

// Tally counts jobs by their result.
type Tally struct {
	Sent         int
	Answers      map[string]Responses // by class
	Rejected     int                  // 4xx other than 429: the scheduler did not accept the job
	WrongResults []JobRecord          // answered 200 without a result, or with the result of another job
	Lost         []JobRecord
	Unread       []JobRecord             // Unread at least once
	Latency      *hdrhistogram.Histogram // of jobs that are not lost, from their first send, in units of latencyUnit
}

func newTally() Tally {
	return Tally{
		Answers: map[string]Responses{},
		Latency: hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits),
	}
}

// add counts a job that has ended, given its response's body.
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
	_ = t.Latency.RecordValue(int64(latency / latencyUnit)) // fails above maxLatency: the histogram omits such jobs
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

// resultOf returns the beginning of a job's result as a stand-in worker writes it.
func resultOf(r JobRecord) string { return fmt.Sprintf("%s of %s by ", r.ID, r.Class) }

// Total returns the responses summed over all classes. It omits rejected and lost jobs.
func (t Tally) Total() (sum Responses) {
	for _, r := range t.Answers {
		sum.OK += r.OK
		sum.Shed += r.Shed
		sum.Errors += r.Errors
	}
	return sum
}

// Line returns the tally as one line.
func (t Tally) Line() string {
	sum := t.Total()
	latencyAt := func(percent float64) float64 {
		return (time.Duration(t.Latency.ValueAtQuantile(percent)) * latencyUnit).Seconds()
	}
	answers := fmt.Sprintf("jobs %d: ok %.0f, shed %.0f, errors %.0f, rejected %d",
		t.Sent, sum.OK, sum.Shed, sum.Errors, t.Rejected)
	failures := fmt.Sprintf("lost %d, wrong results %d, not read %d",
		len(t.Lost), len(t.WrongResults), len(t.Unread))
	latencies := fmt.Sprintf("latency %.3f s at the median, %.3f s at the 99th percentile, %.3f s at most",
		latencyAt(50), latencyAt(99), latencyAt(100))
	return answers + ", " + failures + "; " + latencies
}
