package standin

import (
	"net"
	"sync/atomic"
	"time"
)

// A Corruption is a way in which discovery makes its responses unusable.
type Corruption int32

// The corruptions of a response.
const (
	NoCorruption        Corruption = iota
	TruncateAndClose               // omit the last bytes, then close the connection
	TruncateAndKeepOpen            // omit the last bytes and keep the connection open
	Unavailable                    // status 503 at once
	UnavailableLate                // status 503 after unavailableDelay
	NoResponse                     // write nothing until the peer closes the connection
	ResetConnection                // reset the connection in place of a response
	InvalidJSON                    // status 200 with a body that is not JSON
	SlowBytes                      // write one byte in each slowByteInterval, then close the connection
	corruptionCount
)

// Corruptions lists all corruptions but NoCorruption.
var Corruptions = []Corruption{
	TruncateAndClose, TruncateAndKeepOpen, Unavailable, UnavailableLate,
	NoResponse, ResetConnection, InvalidJSON, SlowBytes,
}

var corruptionNames = [corruptionCount]string{
	"none",
	"truncated, closed",
	"truncated, kept open",
	"503 at once",
	"503 late",
	"no response",
	"connection reset",
	"invalid JSON",
	"slow bytes",
}

// String implements fmt.Stringer. It panics for a value that is not one of the constants.
func (c Corruption) String() string { return corruptionNames[c] }

const (
	unavailableDelay    = 2900 * time.Millisecond
	slowByteInterval    = 150 * time.Millisecond // between two bytes of a slow response
	truncatedBytes      = 2
	invalidJSONResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nnothing"
)

// A corrupter writes corrupted responses. The zero value corrupts none.
type corrupter struct{ kind atomic.Int32 }

// CorruptResponses corrupts all further responses in this way, to all views; NoCorruption restores normal responses.
// Calls counts a call with a corrupted response as answered; Writes, SentVersion and TakeFirstResponse ignore it.
func (d *Discovery) CorruptResponses(kind Corruption) { d.corrupter.kind.Store(int32(kind)) }

// current returns the corruption that applies to responses now.
func (c *corrupter) current() Corruption { return Corruption(c.kind.Load()) }

// corrupt writes a corrupted form of a response, unless the current corruption is NoCorruption. corrupted reports
// whether it did, keepOpen whether the connection can serve another request.
func (c *corrupter) corrupt(conn net.Conn, response string) (corrupted, keepOpen bool) {
	switch c.current() {
	case NoCorruption:
		return false, true
	case TruncateAndClose:
		writeText(conn, response[:len(response)-truncatedBytes])
	case TruncateAndKeepOpen:
		writeText(conn, response[:len(response)-truncatedBytes])
		awaitClose(conn)
	case Unavailable:
		return true, writeText(conn, unavailableResponse)
	case UnavailableLate:
		<-time.After(unavailableDelay)
		return true, writeText(conn, unavailableResponse)
	case NoResponse:
		awaitClose(conn)
	case ResetConnection:
		ResetOnClose(conn)
	case InvalidJSON:
		return true, writeText(conn, invalidJSONResponse)
	case SlowBytes:
		c.writeSlowly(conn, response)
	}
	return true, false
}

// writeSlowly writes a response byte by byte. It stops early if the current corruption changes or a write fails.
func (c *corrupter) writeSlowly(conn net.Conn, response string) {
	for i := range len(response) {
		if !writeText(conn, response[i:i+1]) || c.current() != SlowBytes {
			return
		}
		<-time.After(slowByteInterval)
	}
}
