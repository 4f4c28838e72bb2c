package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// An Arrival records a complete job request that a worker has read.
type Arrival struct {
	ID        string        // of the job
	Worker    string        // name of the worker
	FirstByte time.Time     // when the first byte of the request arrived
	Remaining time.Duration // until the job's deadline, as stated by the scheduler; 0 if missing or invalid
}

// headerFirstByte is a header that Server adds to a request for its handler: the time of the request's first byte, in
// nanoseconds of Unix time.
const headerFirstByte = "X-Lab-Begun"

func setFirstByte(r *http.Request, firstByte time.Time) {
	r.Header.Set(headerFirstByte, strconv.FormatInt(firstByte.UnixNano(), 10))
}

// newArrival returns the record of a job request.
func newArrival(worker, id string, r *http.Request) Arrival {
	firstByte, _ := strconv.ParseInt(r.Header.Get(headerFirstByte), 10, 64) // always valid: Server has set it
	return Arrival{
		ID:        id,
		Worker:    worker,
		FirstByte: time.Unix(0, firstByte),
		Remaining: parseRemaining(r.Header.Get(headerRemaining)),
	}
}

// parseRemaining parses a duration in milliseconds ("5m") or microseconds ("5u"). It returns 0 for any other text.
func parseRemaining(text string) time.Duration {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	value, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil {
		return 0
	}
	return time.Duration(value * float64(unit))
}

// Arrivals returns the job requests that the worker has read, including rejected ones, in the order in which it read
// them.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// A Change records a change of one host in the endpoint list.
type Change struct {
	Version int // of the list after the change
	Host    string
	Health  string // Active, Leaving or Left
	At      time.Time
}

// A Write records a response with an endpoint list that discovery wrote completely.
type Write struct {
	Version int // of the list
	At      time.Time
}

// Changes returns all changes of the endpoint list so far, in order.
func (d *Discovery) Changes() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.changes)
}

// Writes returns the responses that were written completely to a view, in order.
func (d *Discovery) Writes(view string) []Write {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.writes[view])
}
