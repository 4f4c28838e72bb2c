package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// A Fault is what a Proxy does to a chunk: the bytes of one read in one direction.
type Fault uint8

// The faults of a proxy.
const (
	Pass          Fault = iota // forward the chunk unchanged
	Delay                      // forward the chunk after proxyDelay
	Split                      // forward it byte by byte
	Truncate                   // forward its first half, then close both connections
	Reset                      // reset both connections in place of the chunk
	InsertGarbage              // send proxyGarbage before it
	Duplicate                  // forward it twice
	SwapHalves                 // forward its second half before the first
	CloseHalf                  // forward it, then close this direction only
	FaultCount                 // number of faults, including Pass
)

const (
	proxyDelay     = 5 * time.Millisecond
	proxyGarbage   = "\x00{]\r\n"
	copyBufferSize = 16 << 10 // bytes, at most, of a chunk
)

// A Proxy forwards connections to a target. It applies the next fault of its direction's script to each chunk that it
// reads; after the end of the script it forwards every chunk unchanged. If it cannot connect to the target, it closes
// the client's connection.
type Proxy struct {
	net.Listener
	target     string
	toTarget   *script
	fromTarget *script
	forwarding sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// A script is the sequence of faults of one direction, shared by all connections of a proxy.
type script struct {
	mu     sync.Mutex
	faults []Fault
}

// next removes the next fault from the script and returns it, or Pass after the end of the script.
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

// StartProxy starts a proxy on a free loopback port to an address, with the faults for the bytes sent to the target and
// for those received from it. Stop ends the proxy.
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

// accept forwards each accepted connection to the target, until the listener is closed.
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

// Stop closes the listener and all connections, and waits for their goroutines.
func (p *Proxy) Stop() {
	p.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.forwarding.Wait()
}

// forward forwards one direction of a connection until it ends. It forwards a reset as a reset.
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

// forwardChunk forwards a chunk with a fault and reports whether this direction stays open.
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
