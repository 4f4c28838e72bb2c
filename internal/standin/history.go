package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// An Arrival is a whole request with a job that reached a worker.
type Arrival struct {
	ID        string
	Worker    string
	FirstByte time.Time     // when its first byte came
	Remaining time.Duration // until the job's deadline, as the scheduler told it
}

// headerBegun carries the time of a request's first byte from the server to its handler.
const headerFirstByte = "X-Lab-Begun"

func setFirstByte(r *http.Request, firstByte time.Time) {
	r.Header.Set(headerFirstByte, strconv.FormatInt(firstByte.UnixNano(), 10))
}

// arrivalOf reads what a worker keeps of a request.
func newArrival(worker, id string, r *http.Request) Arrival {
	firstByte, _ := strconv.ParseInt(r.Header.Get(headerFirstByte), 10, 64) // the server has set it
	return Arrival{
		ID:        id,
		Worker:    worker,
		FirstByte: time.Unix(0, firstByte),
		Remaining: parseRemaining(r.Header.Get(headerRemaining)),
	}
}

// parseRemaining reads a time in milliseconds ("5m") or microseconds ("5u"); 0 where it is neither.
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

// Arrivals returns the requests with a job that have reached the worker, in the order in which they were read.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// A Change is a change of the endpoint list.
type Change struct {
	Version int
	Host    string
	Health  string
	At      time.Time
}

// A Write is an answer that discovery wrote whole to a view.
type Write struct {
	Version int
	At      time.Time
}

// Changes returns all changes of the list so far.
func (d *Discovery) Changes() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.changes)
}

// Writes returns the answers that were written to a view.
func (d *Discovery) Writes(view string) []Write {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.writes[view])
}
