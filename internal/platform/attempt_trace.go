package platform

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

// An attemptTrace is when the steps of an attempt were done; zero: not done. It answers, after an
// incident, on which step the time was spent.
type attemptTrace struct {
	began     time.Time
	connected time.Time // a connection was there
	written   time.Time // the last byte was written
	answered  time.Time // the first bytes of the answer had come
	reused    bool      // the connection had served an earlier request
	withdrawn atomic.Bool
	unacked   atomic.Bool // when it was withdrawn, the node's machine had not acknowledged all of it
}

// slowWrite is how long an attempt may take, past its connection, until its last byte is written.
// The last byte's hold is a few milliseconds.
const slowWrite = 100 * time.Millisecond

// slowAnswer is how long a node may take to begin its answer once it has the whole request.
const slowAnswer = 3 * time.Second

// log writes a line for an attempt that met what should be rare: its node was taken off the list, or
// began to drain, before its answer began, or its request could not be written or was not answered at once.
func (t *attemptTrace) log(log *zap.Logger, a *attempt, state foxlift.WorkerState, r core.Report) {
	end := time.Now()
	late := !t.written.IsZero() && t.stepEnd(t.answered, end).Sub(t.written) > slowAnswer
	slow := !t.connected.IsZero() && t.stepEnd(t.written, end).Sub(t.connected) > slowWrite
	outlived := !t.connected.IsZero() && t.answered.IsZero() && state != foxlift.Live
	if !slow && !outlived && !late {
		return
	}
	log.Warn("an attempt outlived its node's place in the list, or was written or answered late",
		zap.String("id", a.job.ID), zap.String("class", a.job.Class), zap.String("node", a.node),
		zap.Stringer("state", state), zap.Bool("reused", t.reused),
		zap.Duration("age", end.Sub(t.began)),
		zap.Duration("connect", t.stepEnd(t.connected, end).Sub(t.began)),
		zap.Duration("write", t.stepEnd(t.written, end).Sub(t.connected)),
		zap.Duration("answer", t.stepEnd(t.answered, end).Sub(t.began)),
		zap.Bool("written", !t.written.IsZero()), zap.Bool("answered", !t.answered.IsZero()),
		zap.Bool("withdrawn", t.withdrawn.Load()), zap.Bool("unacknowledged", t.unacked.Load()),
		zap.Stringer("outcome", r.Code))
}

// stepEnd is when a step was done, or the end of the attempt if it never was.
func (t *attemptTrace) stepEnd(done, end time.Time) time.Time {
	if done.IsZero() {
		return end
	}
	return done
}
