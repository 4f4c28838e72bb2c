package platform

import "time"

// How long the reading of a list may go on past the limit of its call. A list of today's fleets is
// within listKept and keeps the list's clock (internal/pollpacing). A longer one takes its time, to
// send and to decode: to break it off while it arrives would only begin it anew.
const (
	listKept   = 128 << 10              // bytes of a list for which the call's limit has to do
	listRate   = 24 << 10               // bytes a second, beyond these, that are waited for at least
	listStalls = 700 * time.Millisecond // most between two parts of a list that is past its call's limit
)

// A callLimit says until when a call's answer is awaited.
type callLimit struct {
	end  time.Time // however little has arrived
	read int64     // bytes of the list so far
}

// note takes in that so many bytes more were read at a time.
func (l *callLimit) note(bytes int) { l.read += int64(bytes) }

// deadline returns until when the next part is awaited after one that was read now.
func (l *callLimit) deadline(now time.Time) time.Time {
	granted := time.Duration(max(0, l.read-listKept)) * time.Second / listRate
	extended := l.end.Add(granted)
	if stall := now.Add(listStalls); stall.Before(extended) {
		extended = stall
	}
	return later(l.end, extended)
}
