package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// A Fault is what a Proxy does to a piece of what passes it.
type Fault uint8

// The faults of a proxy.
const (
	Pass          Fault = iota
	Delay               // a few milliseconds late
	Split               // byte by byte
	Truncate            // half of the piece, then the end
	Reset               // a reset in its place
	InsertGarbage       // some other bytes before it
	Duplicate           // twice
	SwapHalves          // its halves the other way round
	CloseHalf           // the piece, then the end of this direction alone
	FaultCount          // how many there are
)

const (
	proxyDelay     = 5 * time.Millisecond
	proxyGarbage   = "\x00{]\r\n"
	copyBufferSize = 16 << 10 // bytes that are read at once
)

// A Proxy passes connections on to a target and does to each piece that it reads the
// next fault of its direction's script; past a script's end all passes.
type Proxy struct {
	net.Listener
	target     string
	toTarget   *script // the target
	fromTarget *script
	forwarding sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// A script is the faults of one direction, over all connections.
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
func StartProxy(target string, toTarget, fromTarget []Fault) (*Proxy, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Listener:   l,
		target:     target,
		toTarget:   &script{faults: toTarget},
		fromTarget: &script{faults: fromTarget},
	}
	p.forwarding.Go(p.accept)
	return p, nil
}

func (p *Proxy) accept() {
	for {
		client, err := p.Accept()
		if err != nil {
			return
		}
		server, err := Dial(p.target, 0)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		p.forwarding.Go(func() { forward(client, server, p.toTarget) })
		p.forwarding.Go(func() { forward(server, client, p.fromTarget) })
	}
}

// Stop ends the proxy and all that passes it.
func (p *Proxy) Stop() {
	p.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.forwarding.Wait()
}

// forward passes one direction of a connection on until it ends; a reset is passed on as one.
func forward(from, to net.Conn, s *script) {
	defer CloseWrite(to)
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !forwardChunk(from, to, buf[:n], s.next()) {
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			ResetConn(to)
			return
		}
	}
}

// forwardPiece passes a piece on with a fault, and reports whether this direction goes on.
func forwardChunk(from, to net.Conn, chunk []byte, fault Fault) bool {
	write := func(b []byte) bool {
		_, err := to.Write(b)
		return err == nil
	}
	half := len(chunk) / 2
	switch fault {
	case Delay:
		<-time.After(proxyDelay)
	case Split:
		for i := range chunk {
			if !write(chunk[i : i+1]) {
				return false
			}
		}
		return true
	case Truncate:
		write(chunk[:half])
		from.Close()
		to.Close()
		return false
	case Reset:
		ResetConn(from)
		ResetConn(to)
		return false
	case InsertGarbage:
		if !write([]byte(proxyGarbage)) {
			return false
		}
	case Duplicate:
		if !write(chunk) {
			return false
		}
	case SwapHalves:
		return write(chunk[half:]) && write(chunk[:half])
	case CloseHalf:
		write(chunk)
		return false
	}
	return write(chunk)
}
