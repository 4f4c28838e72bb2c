package platform

import (
	"sync"
	"time"

	"github.com/vatu-meals/foxlift"
)

// answerGrace is how long an attempt without an answer may go on after its worker has become draining or
// removed. The rule on drains allows for 0.75 s in the shortest settings known; the change may have come up
// to 0.15 s late.
const answerGrace = 300 * time.Millisecond

// inFlightAttempts are the attempts in flight, by worker. Its zero value is ready for use.
//
// It aborts those whose worker is no longer live. A worker answers with a status as soon as it has taken a
// request. Where none has come, the request may still be on its way: a network that was cut delivers it once
// it works again, as late as the cut was long. To the worker that is a send after the endpoint list said that
// it drains or is removed. So an attempt without an answer ends shortly after its worker's change, with a
// reset of the connection, which also discards what the kernel would send again.
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

// workerChanged takes in a worker's state in the endpoint list. It may be called with the list locked.
func (f *inFlightAttempts) scheduleAborts(worker string, state foxlift.WorkerState) {
	if state == foxlift.Live {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.byWorker[worker] {
		time.AfterFunc(answerGrace, func() { a.abortUnavailable(state) })
	}
}
