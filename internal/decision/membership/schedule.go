package membership

import "math/rand/v2"

// A PollSchedule decides when to poll discovery for the endpoint list, and backs off while polls fail. It is
// used where discovery does not send the list unasked.
type PollSchedule struct {
	maxInterval int64 // longest time between polls, nanoseconds
	nextAt      int64 // time of the next poll; only while not subscribed
	inProgress  bool  // a poll is awaiting its answer
	subscribed  bool  // discovery sends changes unasked
	backoff     int64 // after the last failure, nanoseconds; 0: no failure since the last list
}

const (
	minBackoff  = second / 2 // after the first failure
	startJitter = second     // longest delay of the first poll, which spreads schedulers that start together
)

// NewPollSchedule returns the schedule of a scheduler that must poll at least every maxInterval nanoseconds
// while it is not subscribed.
func NewPollSchedule(maxInterval int64) PollSchedule { return PollSchedule{maxInterval: maxInterval} }

// Start draws the time of the first poll at random, within a quarter of maxInterval but at most startJitter,
// so that dispatchers that start together do not poll together.
func (s *PollSchedule) Start(now int64, rng *rand.Rand) {
	s.nextAt = now + rng.Int64N(max(1, min(s.maxInterval/4, startJitter)))
}

// Begin reports whether to poll discovery now, and if so records that a poll is in progress.
func (s *PollSchedule) Begin(now int64) bool {
	if s.subscribed || s.inProgress || now < s.nextAt {
		return false
	}
	s.inProgress = true
	return true
}

// Succeed records that a list or its changes arrived, and resets the backoff. If a poll was in progress, this
// begins the subscription.
func (s *PollSchedule) Succeed() {
	s.subscribed = s.subscribed || s.inProgress
	s.inProgress = false
	s.backoff = 0
}

// Fail records that a poll failed or the subscription broke, and draws the time of the next poll at random,
// since all dispatchers fail together: after half of the backoff to the whole. The backoff doubles with each
// failure from minBackoff to half of maxInterval, so that the scheduler does not count as not polling; it is
// minBackoff if that is longer.
func (s *PollSchedule) Fail(now int64, rng *rand.Rand) {
	s.subscribed, s.inProgress = false, false
	s.backoff = min(max(2*s.backoff, minBackoff), max(s.maxInterval/2, minBackoff))
	s.nextAt = now + s.backoff/2 + rng.Int64N(s.backoff/2+1)
}
