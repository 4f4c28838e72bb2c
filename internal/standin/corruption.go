package standin

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// A Spoil is a way in which discovery's answers are of no use.
type Corruption int32

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

// Spoils are all ways but none.
var Corruptions = []Corruption{TornClose, TornOpen, BusyNow, BusyLate, Silence, ResetAnswer, NotJSON, Trickle}

var corruptionNames = [corruptionCount]string{"none", "torn, closed", "torn, left open", "503 at once", "503 late", "silent", "reset", "no list", "a trickle"}

// String implements fmt.Stringer.
func (s Corruption) String() string { return corruptionNames[s] }

const (
	busyDelay       = 2900 * time.Millisecond
	trickleInterval = 150 * time.Millisecond // between the bytes of a trickle
	tornBytes       = 2
	busyAnswer      = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)

// A spoiler is how answers are spoilt now.
type corrupter struct{ kind atomic.Int32 }

// CorruptAnswers makes all answers from now on of no use in this way; NoCorruption ends that.
func (d *Discovery) CorruptAnswers(way Corruption) { d.corrupter.kind.Store(int32(way)) }

// spoil writes a spoilt answer in place of a whole one. It reports whether it did, and whether the connection
// goes on.
func (s *corrupter) corrupt(c net.Conn, answer string) (spoilt, on bool) {
	way := Corruption(s.kind.Load())
	switch way {
	case NoCorruption:
		return false, true
	case TornClose, TornOpen:
		io.WriteString(c, answer[:len(answer)-tornBytes])
	case BusyLate, BusyNow:
		if way == BusyLate {
			<-time.After(busyDelay)
		}
		_, err := io.WriteString(c, busyAnswer)
		return true, err == nil
	case ResetAnswer:
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	case NotJSON:
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nnothing")
		return true, err == nil
	case Trickle:
		for i := range len(answer) {
			if _, err := io.WriteString(c, answer[i:i+1]); err != nil || Corruption(s.kind.Load()) != Trickle {
				return true, false
			}
			<-time.After(trickleInterval)
		}
	}
	if way == TornOpen || way == Silence {
		io.Copy(io.Discard, c) // until the scheduler gives up
	}
	return true, false
}
