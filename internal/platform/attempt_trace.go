package platform

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

// An attemptTrace records when the steps of an attempt were done; zero: not done. It tells, after an incident, on
// which step the time was spent.
type attemptTrace struct {
	startedAt      time.Time
	connectedAt    time.Time // a connection was there
	writtenAt      time.Time // the last byte was written
	answeredAt     time.Time // the first bytes of the answer had come
	reused         bool      // the connection had served an earlier request
	withdrawn      atomic.Bool
	unacknowledged atomic.Bool // when it was withdrawn, the worker's machine had not acknowledged all of it
}

// An attempt that takes longer is logged.
const (
	writeWarning  = 100 * time.Millisecond // from its connection to its last byte, which is held for a few milliseconds
	answerWarning = 3 * time.Second        // from its last byte to the beginning of the answer
)

// log writes a line for an attempt that met what should be rare: its worker was removed, or began to drain, before
// its answer began, or its request was written or answered late.
func (t *attemptTrace) log(log *zap.Logger, a *attempt, state foxlift.WorkerState, report core.Report) {
	end := time.Now()
	answeredLate := !t.writtenAt.IsZero() && t.timeOrEnd(t.answeredAt, end).Sub(t.writtenAt) > answerWarning
	writtenLate := !t.connectedAt.IsZero() && t.timeOrEnd(t.writtenAt, end).Sub(t.connectedAt) > writeWarning
	unansweredNotLive := !t.connectedAt.IsZero() && t.answeredAt.IsZero() && state != foxlift.Live
	if !writtenLate && !unansweredNotLive && !answeredLate {
		return
	}
	log.Warn("attempt: worker no longer live before the answer, or written or answered late",
		zap.String("id", a.job.ID), zap.String("class", a.job.Class), zap.String("node", a.worker),
		zap.Stringer("state", state), zap.Bool("reused", t.reused),
		zap.Duration("age", end.Sub(t.startedAt)),
		zap.Duration("connect", t.timeOrEnd(t.connectedAt, end).Sub(t.startedAt)),
		zap.Duration("write", t.timeOrEnd(t.writtenAt, end).Sub(t.connectedAt)),
		zap.Duration("answer", t.timeOrEnd(t.answeredAt, end).Sub(t.startedAt)),
		zap.Bool("written", !t.writtenAt.IsZero()), zap.Bool("answered", !t.answeredAt.IsZero()),
		zap.Bool("withdrawn", t.withdrawn.Load()), zap.Bool("unacknowledged", t.unacknowledged.Load()),
		zap.Stringer("outcome", report.Code))
}

// doneOr is when a step was done, or the end of the attempt if it never was.
func (t *attemptTrace) timeOrEnd(done, end time.Time) time.Time {
	if done.IsZero() {
		return end
	}
	return done
}
