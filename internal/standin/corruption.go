package standin

import (
	"net"
	"sync/atomic"
	"time"
)

// A Corruption is a way in which discovery's answers are of no use.
type Corruption int32

// The ways in which answers are corrupted.
const (
	NoCorruption        Corruption = iota
	TruncateAndClose               // cut off before the last bytes, and closed
	TruncateAndKeepOpen            // the same, and left open
	Unavailable                    // 503 at once
	UnavailableLate                // 503 after a wait
	NoResponse                     // no answer
	ResetConnection                // the connection is reset
	InvalidJSON                    // 200 with something that is no list
	SlowBytes                      // one byte now and then
	corruptionCount
)

// Corruptions are all ways but NoCorruption.
var Corruptions = []Corruption{
	TruncateAndClose, TruncateAndKeepOpen, Unavailable, UnavailableLate, NoResponse, ResetConnection, InvalidJSON, SlowBytes,
}

var corruptionNames = [corruptionCount]string{
	"none",
	"torn, closed",
	"torn, left open",
	"503 at once",
	"503 late",
	"silent",
	"reset",
	"no list",
	"a trickle",
}

// String implements fmt.Stringer.
func (c Corruption) String() string { return corruptionNames[c] }

const (
	unavailableDelay    = 2900 * time.Millisecond
	slowByteInterval    = 150 * time.Millisecond // between the bytes of a trickle
	truncatedBytes      = 2
	invalidJSONResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nnothing"
)

// A corrupter holds how answers are corrupted now.
type corrupter struct{ kind atomic.Int32 }

// CorruptAnswers makes all answers from now on of no use in this way; NoCorruption ends that.
func (d *Discovery) CorruptResponses(kind Corruption) { d.corrupter.kind.Store(int32(kind)) }

func (c *corrupter) current() Corruption { return Corruption(c.kind.Load()) }

// corrupt writes a corrupted answer in place of a whole one. It reports whether it did, and whether the connection
// goes on.
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

// trickle writes an answer byte by byte, until this is no longer the way or the connection has ended.
func (c *corrupter) writeSlowly(conn net.Conn, response string) {
	for i := range len(response) {
		if !writeText(conn, response[i:i+1]) || c.current() != SlowBytes {
			return
		}
		<-time.After(slowByteInterval)
	}
}
