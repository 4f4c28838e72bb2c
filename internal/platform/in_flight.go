package platform

import (
	"sync"
	"time"

	"github.com/vatu-meals/foxlift"
)

// Attempts whose node goes off the list. A node answers with a status as soon as it has taken a request.
// Where none has come, the request may still be on its way: a network that was cut delivers it when it is
// whole again, as late as the cut was long. To the node that is a send after the list said that it drains or
// is gone. So an attempt without an answer ends shortly after its node's change, with a reset of the
// connection, which also discards what the kernel would send again.

// answerGrace is how long after its node's change an attempt without an answer may go on. The rule on
// drains allows for 0.75 s in the shortest settings known; the change may have come up to 0.15 s late.
const answerGrace = 300 * time.Millisecond

// outstanding is the attempts that are under way, by the node that they go to.
// Its zero value is ready for use.
type inFlightAttempts struct {
	mu       sync.Mutex
	byWorker map[string]map[*attempt]struct{}
}

func (f *inFlightAttempts) add(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byWorker == nil {
		f.byWorker = map[string]map[*attempt]struct{}{}
	}
	if f.byWorker[a.worker] == nil {
		f.byWorker[a.worker] = map[*attempt]struct{}{}
	}
	f.byWorker[a.worker][a] = struct{}{}
}

func (f *inFlightAttempts) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byWorker[a.worker], a)
	if len(f.byWorker[a.worker]) == 0 {
		delete(f.byWorker, a.worker)
	}
}

// workerChanged is told of a node's state in the list. It may be called with the list locked.
func (f *inFlightAttempts) workerChanged(worker string, state foxlift.WorkerState) {
	if state == foxlift.Live {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.byWorker[worker] {
		time.AfterFunc(answerGrace, func() { a.abortUnavailable(state) })
	}
}
