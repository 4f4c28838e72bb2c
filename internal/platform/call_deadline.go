package platform

import "time"

// How long the reading of a list may go on past the limit of its call. A list of today's fleets is
// within minRateBytes and keeps the list's clock (internal/pollpacing). A longer one takes its time, to
// send and to decode: to break it off while it arrives would only begin it anew.
const (
	minRateBytes      = 128 << 10              // bytes of a list for which the call's limit has to do
	minBytesPerSecond = 24 << 10               // bytes a second, beyond these, that are waited for at least
	maxStall          = 700 * time.Millisecond // most between two parts of a list that is past its call's limit
)

// A callDeadline says until when a call's answer is awaited.
type callDeadline struct {
	timeout  time.Time // however little has arrived
	received int64     // bytes of the list so far
}

// note takes in that so many bytes more were read at a time.
func (l *callDeadline) addReceived(bytes int) { l.received += int64(bytes) }

// deadline returns until when the next part is awaited after one that was read now.
func (l *callDeadline) next(now time.Time) time.Time {
	granted := time.Duration(max(0, l.received-minRateBytes)) * time.Second / minBytesPerSecond
	extended := l.timeout.Add(granted)
	if stall := now.Add(maxStall); stall.Before(extended) {
		extended = stall
	}
	return later(l.timeout, extended)
}
