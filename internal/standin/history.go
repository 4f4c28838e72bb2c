package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// What nodes and discovery saw, with times: for judges of runs.

// An Arrival is a whole request with a job that reached a node.
type Arrival struct {
	ID      string
	Node    string
	Begun   time.Time     // when its first byte came
	Remains time.Duration // that the scheduler told
}

// headerBegun carries the time of a request's first byte from the server to its handler.
const headerBegun = "X-Lab-Begun"

func stamp(r *http.Request, begun time.Time) {
	r.Header.Set(headerBegun, strconv.FormatInt(begun.UnixNano(), 10))
}

// arrival reads what a node keeps of a request.
func arrival(node, id string, r *http.Request) Arrival {
	begun, _ := strconv.ParseInt(r.Header.Get(headerBegun), 10, 64)
	a := Arrival{ID: id, Node: node, Begun: time.Unix(0, begun)}
	if text, ok := strings.CutSuffix(r.Header.Get("X-Remaining"), "m"); ok {
		ms, _ := strconv.ParseFloat(text, 64)
		a.Remains = time.Duration(ms * float64(time.Millisecond))
	} else if text, ok := strings.CutSuffix(r.Header.Get("X-Remaining"), "u"); ok {
		us, _ := strconv.ParseFloat(text, 64)
		a.Remains = time.Duration(us * float64(time.Microsecond))
	}
	return a
}

// Arrivals returns the requests with a job that have reached the node, in the order in which they were read.
func (n *Worker) Arrivals() []Arrival {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Arrival(nil), n.arrivals...)
}

// A Change is a change of the machine list.
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
	return append([]Change(nil), d.changes...)
}

// Writes returns the answers that were written to a view.
func (d *Discovery) Writes(view string) []Write {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Write(nil), d.writes[view]...)
}
