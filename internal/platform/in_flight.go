package platform

import (
	"sync"
	"time"

	"github.com/vatu-meals/foxlift"
)

// answerGrace is how long an attempt without an answer may go on after this process has received the change of its
// worker to draining or removed. The platform's rule on drains allows 0.75 s in the shortest settings known, and the
// change may arrive up to 0.15 s late.
const answerGrace = 300 * time.Millisecond

// inFlightAttempts holds the attempts in flight by worker and aborts unanswered attempts whose worker is no longer
// live. Its zero value is ready for use.
//
// A worker answers with a status as soon as it has accepted a request. Without an answer, the request may not have
// arrived yet: after a network partition it is delivered when the network works again, however long that takes. The
// worker then receives a request after the endpoint list has reported it as draining or removed, which the platform's
// rule on drains forbids. An attempt without an answer is therefore ended answerGrace after the change. It resets the
// connection, which also discards the bytes that the kernel would retransmit.
type inFlightAttempts struct {
	mu       sync.Mutex
	byWorker map[string]map[*attempt]struct{}
}

// add records an attempt that starts.
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

// remove deletes the record of an attempt that has ended.
func (f *inFlightAttempts) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byWorker[a.worker], a)
	if len(f.byWorker[a.worker]) == 0 {
		delete(f.byWorker, a.worker)
	}
}

// scheduleAborts schedules the abort of the worker's attempts in flight after answerGrace, unless its state is live.
// It may be called with the mutex of the endpointWatch locked.
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
