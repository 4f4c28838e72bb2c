package platform

import (
	"net"
	"time"
)

// Limits of how long an attempt waits until a response that has arrived is in the endpoint table. The attempt is not
// sent if the wait ends before that.
const (
	unreadWait    = time.Second     // since the wait began or, if later, since the last read of a part of the response
	maxUnreadWait = 4 * time.Second // in total; longer than the timeout of a call for the complete list
)

// unreadResponse records whether a response of discovery has arrived that is not in the endpoint table yet. The mutex
// of the endpointWatch guards it.
type unreadResponse struct {
	conn       net.Conn  // the watch's connection while a response is awaited, otherwise nil
	reading    bool      // bytes that arrived on conn are being read, and are not in the table yet
	lastReadAt time.Time // when a part of a response was last about to be read
}

// exists reports whether bytes of a response have arrived that are not in the table. It also returns true if the
// connection has ended and the watch has not closed it yet.
func (u *unreadResponse) exists() bool { return u.reading || u.conn != nil && hasInput(u.conn) }

// clear records that no response is awaited, because the last one is in the table or its connection was closed.
func (u *unreadResponse) clear() { u.conn, u.reading = nil, false }

// deadline returns until when an attempt that began to wait at startedAt waits for the response to be in the table. It
// moves on while the response is being read, up to maxUnreadWait, since a long list takes time to decode.
func (u *unreadResponse) deadline(startedAt time.Time) time.Time {
	deadline := later(startedAt, u.lastReadAt).Add(unreadWait)
	if limit := startedAt.Add(maxUnreadWait); deadline.After(limit) {
		return limit
	}
	return deadline
}
