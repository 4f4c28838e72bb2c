package foxlift

import "strconv"

// Names of codes and worker states in logs, as the documentation has them. Nothing is decided here.

var codeNames = [...]string{
	Served: "served", WorkerError: "error", Saturated: "turned away", DeadlineExceeded: "timed out",
	Unreachable: "unreachable", Reset: "reset", Cancelled: "cancelled", NotSent: "not sent", InvalidRequest: "blamed",
}

// String returns the name of the code in logs, or its number if the code is unknown.
func (c Code) String() string { return nameOf(codeNames[:], int(c)) }

var workerStateNames = [...]string{Live: "live", Draining: "draining", Removed: "gone"}

// String returns the name of the state in logs, or its number if the state is unknown.
func (s WorkerState) String() string { return nameOf(workerStateNames[:], int(s)) }

// nameOf returns names[i], or i in decimal if there is no such name.
func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}
