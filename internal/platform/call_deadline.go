package platform

import "time"

// Limits of how long an endpoint list may be read past the timeout of its call (internal/pollpacing). The list of an
// ordinary fleet is shorter than bytesWithinTimeout and gets no extension. A longer list takes more time to send and
// to decode; cancelling it while it arrives would only start the same transfer again.
const (
	bytesWithinTimeout = 128 << 10              // bytes of a list that extend the deadline by nothing
	minBytesPerSecond  = 24 << 10               // received bytes beyond them that extend it by 1 s
	maxStall           = 700 * time.Millisecond // longest wait for the next part of a list past its call's timeout
)

// callDeadline computes until when the response to a call is awaited.
type callDeadline struct {
	timeout  time.Time // the earliest deadline, whatever has been received
	received int64     // bytes of the list received so far
}

// addReceived records that bytes more bytes of the list were read.
func (d *callDeadline) addReceived(bytes int) { d.received += int64(bytes) }

// next returns the deadline for the next part of the list, after a part that was read at now. It is at most maxStall
// after now, but never before the call's timeout.
func (d *callDeadline) next(now time.Time) time.Time {
	extension := time.Duration(max(0, d.received-bytesWithinTimeout)) * time.Second / minBytesPerSecond
	deadline := d.timeout.Add(extension)
	if stall := now.Add(maxStall); stall.Before(deadline) {
		deadline = stall
	}
	return later(d.timeout, deadline)
}
