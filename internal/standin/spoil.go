package standin

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// A Spoil is a way in which discovery's answers are of no use.
type Spoil int32

const (
	NoSpoil     Spoil = iota
	TornClose         // cut off before the last bytes, and closed
	TornOpen          // the same, and left open
	BusyNow           // 503 at once
	BusyLate          // 503 after a wait
	Silence           // no answer
	ResetAnswer       // the connection is reset
	NoList            // 200 with something that is no list
	Trickle           // one byte now and then
	spoils
)

// Spoils are all ways but none.
var Spoils = []Spoil{TornClose, TornOpen, BusyNow, BusyLate, Silence, ResetAnswer, NoList, Trickle}

var spoilNames = [spoils]string{"none", "torn, closed", "torn, left open", "503 at once", "503 late", "silent", "reset", "no list", "a trickle"}

// String implements fmt.Stringer.
func (s Spoil) String() string { return spoilNames[s] }

const (
	spoilLate  = 2900 * time.Millisecond
	spoilPause = 150 * time.Millisecond // between the bytes of a trickle
	tornBytes  = 2
	busyAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)

// A spoiler is how answers are spoilt now.
type spoiler struct{ way atomic.Int32 }

// SpoilAnswers makes all answers from now on of no use in this way; NoSpoil ends that.
func (d *Discovery) SpoilAnswers(way Spoil) { d.spoiler.way.Store(int32(way)) }

// spoil writes a spoilt answer in place of a whole one. It reports whether it did, and whether the connection
// goes on.
func (s *spoiler) spoil(c net.Conn, answer string) (spoilt, on bool) {
	way := Spoil(s.way.Load())
	switch way {
	case NoSpoil:
		return false, true
	case TornClose, TornOpen:
		io.WriteString(c, answer[:len(answer)-tornBytes])
	case BusyLate, BusyNow:
		if way == BusyLate {
			<-time.After(spoilLate)
		}
		_, err := io.WriteString(c, busyAnswer)
		return true, err == nil
	case ResetAnswer:
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	case NoList:
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nnothing")
		return true, err == nil
	case Trickle:
		for i := range len(answer) {
			if _, err := io.WriteString(c, answer[i:i+1]); err != nil || Spoil(s.way.Load()) != Trickle {
				return true, false
			}
			<-time.After(spoilPause)
		}
	}
	if way == TornOpen || way == Silence {
		io.Copy(io.Discard, c) // until the scheduler gives up
	}
	return true, false
}
