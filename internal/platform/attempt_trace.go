package platform

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

// attemptTrace records when each step of an attempt was completed, so that the log shows on which step a slow
// attempt spent its time. A zero time means that the step was not completed.
type attemptTrace struct {
	startedAt      time.Time
	connectedAt    time.Time   // a connection was available
	writtenAt      time.Time   // the last byte of the request was written
	answeredAt     time.Time   // the head of the answer was read
	reused         bool        // the connection had served an earlier request
	withdrawn      atomic.Bool // the core withdrew the attempt while it had a connection
	unacknowledged atomic.Bool // the worker's machine had not acknowledged all of the request at the withdrawal
}

// Durations above which an attempt is logged.
const (
	// writeWarning bounds the time from the connection to the last byte of the request, which is held back for up
	// to maxLastByteHold.
	writeWarning = 100 * time.Millisecond
	// answerWarning bounds the time from the last byte of the request to the head of the answer.
	answerWarning = 3 * time.Second
)

// log logs an attempt that has ended if one of three rare conditions is true: no answer began on its connection and
// the worker is draining or removed now; the request was not written within writeWarning of the connection; or the
// answer did not begin within answerWarning of the last byte. state is the worker's state now.
func (t *attemptTrace) log(log *zap.Logger, a *attempt, state foxlift.WorkerState, report core.Report) {
	end := time.Now()
	answeredLate := !t.writtenAt.IsZero() && t.timeOrEnd(t.answeredAt, end).Sub(t.writtenAt) > answerWarning
	writtenLate := !t.connectedAt.IsZero() && t.timeOrEnd(t.writtenAt, end).Sub(t.connectedAt) > writeWarning
	unansweredNotLive := !t.connectedAt.IsZero() && t.answeredAt.IsZero() && state != foxlift.Live
	if !writtenLate && !unansweredNotLive && !answeredLate {
		return
	}
	log.Warn("attempt: worker not live before its answer began, or request written or answered late",
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

// timeOrEnd returns done, the time at which a step was completed, or end if the step was not completed.
func (t *attemptTrace) timeOrEnd(done, end time.Time) time.Time {
	if done.IsZero() {
		return end
	}
	return done
}
