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
	NoCorruption Corruption = iota
	TornClose               // cut off before the last bytes, and closed
	TornOpen                // the same, and left open
	BusyNow                 // 503 at once
	BusyLate                // 503 after a wait
	Silence                 // no answer
	ResetAnswer             // the connection is reset
	NotJSON                 // 200 with something that is no list
	Trickle                 // one byte now and then
	corruptionCount
)

// Corruptions are all ways but NoCorruption.
var Corruptions = []Corruption{TornClose, TornOpen, BusyNow, BusyLate, Silence, ResetAnswer, NotJSON, Trickle}

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
	busyDelay       = 2900 * time.Millisecond
	trickleInterval = 150 * time.Millisecond // between the bytes of a trickle
	tornBytes       = 2
	notJSONAnswer   = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nnothing"
)

// A corrupter holds how answers are corrupted now.
type corrupter struct{ kind atomic.Int32 }

// CorruptAnswers makes all answers from now on of no use in this way; NoCorruption ends that.
func (d *Discovery) CorruptAnswers(way Corruption) { d.corrupter.kind.Store(int32(way)) }

func (c *corrupter) current() Corruption { return Corruption(c.kind.Load()) }

// corrupt writes a corrupted answer in place of a whole one. It reports whether it did, and whether the connection
// goes on.
func (c *corrupter) corrupt(conn net.Conn, answer string) (corrupted, goesOn bool) {
	switch c.current() {
	case NoCorruption:
		return false, true
	case TornClose:
		writeText(conn, answer[:len(answer)-tornBytes])
	case TornOpen:
		writeText(conn, answer[:len(answer)-tornBytes])
		awaitClose(conn)
	case BusyNow:
		return true, writeText(conn, busyAnswer)
	case BusyLate:
		<-time.After(busyDelay)
		return true, writeText(conn, busyAnswer)
	case Silence:
		awaitClose(conn)
	case ResetAnswer:
		ResetOnClose(conn)
	case NotJSON:
		return true, writeText(conn, notJSONAnswer)
	case Trickle:
		c.trickle(conn, answer)
	}
	return true, false
}

// trickle writes an answer byte by byte, until this is no longer the way or the connection has ended.
func (c *corrupter) trickle(conn net.Conn, answer string) {
	for i := range len(answer) {
		if !writeText(conn, answer[i:i+1]) || c.current() != Trickle {
			return
		}
		<-time.After(trickleInterval)
	}
}
