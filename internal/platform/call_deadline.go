package platform

import "time"

// How long the reading of an endpoint list may go on past the timeout of its call. The list of an ordinary fleet is
// within minRateBytes and keeps to the timeout (internal/pollpacing). A longer one takes its time to send and
// to decode: to break it off while it arrives would only begin it anew.
const (
	bytesWithinTimeout = 128 << 10              // bytes of a list for which the timeout has to do
	minBytesPerSecond  = 24 << 10               // bytes a second, beyond these, that are waited for
	maxStall           = 700 * time.Millisecond // most between two parts of a list that is past its call's timeout
)

// A callDeadline says until when a call's response is awaited.
type callDeadline struct {
	timeout  time.Time // until then, however little has arrived
	received int64     // bytes of the list so far
}

// addReceived records that more bytes were read.
func (d *callDeadline) addReceived(bytes int) { d.received += int64(bytes) }

// next returns until when the next part is awaited after one that was read now.
func (d *callDeadline) next(now time.Time) time.Time {
	extension := time.Duration(max(0, d.received-bytesWithinTimeout)) * time.Second / minBytesPerSecond
	deadline := d.timeout.Add(extension)
	if stall := now.Add(maxStall); stall.Before(deadline) {
		deadline = stall
	}
	return later(d.timeout, deadline)
}
