package platform

import (
	"net"
	"time"
)

// How long an attempt waits for a response that has arrived to be in the table. After that it is not sent.
const (
	unreadWait    = time.Second     // after something was last read of the response
	maxUnreadWait = 4 * time.Second // in all; longer than a call for the complete list may take
)

// An unreadResponse tells whether discovery has written something that is not in the table yet. The watch
// guards it by its mutex.
type unreadResponse struct {
	conn       net.Conn  // the watch's connection, while a response is awaited
	reading    bool      // what arrived on conn is being read, and is not in the table yet
	lastReadAt time.Time // when some of it was last read
}

// exists reports whether something has arrived that is not in the table.
func (u *unreadResponse) exists() bool { return u.reading || u.conn != nil && hasInput(u.conn) }

// clear says that no response is awaited: the last one is in the table, or its connection is given up.
func (u *unreadResponse) clear() { u.conn, u.reading = nil, false }

// deadline returns until when an attempt that began to wait at startedAt waits for the response to be in
// the table. While it is being read the wait goes on, since a long list takes time to decode.
func (u *unreadResponse) deadline(startedAt time.Time) time.Time {
	deadline := later(startedAt, u.lastReadAt).Add(unreadWait)
	if limit := startedAt.Add(maxUnreadWait); deadline.After(limit) {
		return limit
	}
	return deadline
}
