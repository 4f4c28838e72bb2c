package membership

import "math/rand/v2"

// A PollSchedule says when discovery is to be asked for the endpoint list, where the list must be asked
// for, and backs off while polls fail.
type PollSchedule struct {
	maxInterval int64
	nextAt      int64 // when to ask; only while not subscribed
	inProgress  bool  // a poll is unanswered
	subscribed  bool  // changes come by themselves
	backoff     int64
}

const (
	minBackoff  = second / 2
	startJitter = second // over which the first polls of schedulers that start together are spread at most
)

// NewPollSchedule returns the schedule of a scheduler that may go for no longer than maxInterval without
// a poll.
func NewPollSchedule(maxInterval int64) PollSchedule { return PollSchedule{maxInterval: maxInterval} }

// Start draws the time of the first poll: dispatchers that start together must not ask together.
func (s *PollSchedule) Start(now int64, rng *rand.Rand) {
	s.nextAt = now + rng.Int64N(max(1, min(s.maxInterval/4, startJitter)))
}

// Begin reports whether discovery is to be asked now, and if so notes that it is.
func (s *PollSchedule) Begin(now int64) bool {
	if s.subscribed || s.inProgress || now < s.nextAt {
		return false
	}
	s.inProgress = true
	return true
}

// Succeed notes that a list or its changes have come.
func (s *PollSchedule) Succeed() {
	s.subscribed = s.subscribed || s.inProgress
	s.inProgress = false
	s.backoff = 0
}

// Fail notes that a poll has failed or the subscription broke, and draws the time of the next. That
// happens to all dispatchers together: they spread out, within what counts as not asking.
func (s *PollSchedule) Fail(now int64, rng *rand.Rand) {
	s.subscribed, s.inProgress = false, false
	s.backoff = min(max(2*s.backoff, minBackoff), max(s.maxInterval/2, minBackoff))
	s.nextAt = now + s.backoff/2 + rng.Int64N(s.backoff/2+1)
}
