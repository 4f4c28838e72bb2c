package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// A Fault is what a Proxy does to a piece of what passes it.
type Fault uint8

const (
	Pass      Fault = iota
	Delay           // a few milliseconds late
	Split           // byte by byte
	Truncate        // half of the piece, then the end
	Reset           // a reset in its place
	Garbage         // some other bytes before it
	Duplicate       // twice
	Swap            // its halves the other way round
	CloseHalf       // the piece, then the end of this direction alone
	Faults          // how many there are
)

// A Proxy passes connections on to a target and does to each piece that it reads the
// next fault of its direction's script; past a script's end all passes.
type Proxy struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
	wait  sync.WaitGroup
}

// A script is the faults of one direction.
type script struct {
	mu     sync.Mutex
	faults []Fault
}

func (s *script) next() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return Pass
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// StartProxy starts a proxy to an address, with a script for what goes there and one
// for what comes back.
func StartProxy(target string, there, back []Fault) (*Proxy, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{Listener: l}
	out, in := &script{faults: there}, &script{faults: back}
	p.wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", target)
			if err != nil {
				c.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, c, d)
			p.mu.Unlock()
			p.wait.Go(func() { pass(c, d, out) })
			p.wait.Go(func() { pass(d, c, in) })
		}
	})
	return p, nil
}

// Stop ends the proxy and all that passes it.
func (p *Proxy) Stop() {
	p.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.wait.Wait()
}

func pass(from, to net.Conn, s *script) {
	defer to.(*net.TCPConn).CloseWrite()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !write(from, to, buf[:n], s.next()) {
			return
		}
		if err != nil {
			if err != io.EOF {
				to.(*net.TCPConn).SetLinger(0) // a reset is passed on as one
				to.Close()
			}
			return
		}
	}
}

// write passes a piece on with the next fault; false means that this direction ends.
func write(from, to net.Conn, piece []byte, f Fault) bool {
	put := func(b []byte) bool {
		_, err := to.Write(b)
		return err == nil
	}
	half := len(piece) / 2
	switch f {
	case Delay:
		<-time.After(5 * time.Millisecond)
	case Split:
		for i := range piece {
			if !put(piece[i : i+1]) {
				return false
			}
		}
		return true
	case Truncate:
		put(piece[:half])
		from.Close()
		to.Close()
		return false
	case Reset:
		for _, c := range []net.Conn{from, to} {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		return false
	case Garbage:
		if !put([]byte("\x00{]\r\n")) {
			return false
		}
	case Duplicate:
		if !put(piece) {
			return false
		}
	case Swap:
		return put(piece[half:]) && put(piece[:half])
	case CloseHalf:
		put(piece)
		return false
	}
	return put(piece)
}
