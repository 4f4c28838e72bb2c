package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/upgrade"
)

// Format of a datagram between schedulers and limits of the exchange. A datagram has a big-endian 64-bit header, the
// message, and a CRC-32C of both. The upper 12 bits of the header are peerMagic, which identifies the version of the
// format; the lower 52 bits are the send time in Unix microseconds, which is unique among a sender's datagrams.
const (
	peerMagic         = 0xf01
	peerTimeBits      = 52
	maxPeerDatagram   = 256       // bytes, by the protocol
	peerOverhead      = 8 + 4     // bytes of the header and the checksum
	maxPeerAgeMicros  = 3_000_000 // maximum difference of the send time from the receiver's clock, in microseconds
	peerQueueLength   = 64        // messages queued to be sent; more are dropped
	maxPeerRate       = 1000      // messages per second accepted from a peer, which sends two for each job
	maxPeerBurst      = 200       // messages accepted from a peer at once
	peerHistoryLength = 64        // number of send times kept for each peer to recognize duplicates
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// datagramError is the reason why a received datagram is dropped.
type datagramError struct {
	counter string // name of the counter of datagrams dropped for this reason
	text    string
}

// Error implements error.
func (e *datagramError) Error() string { return e.text }

var (
	errCorruptDatagram   = &datagramError{"peers.garbled", "datagram is malformed"}
	errStaleDatagram     = &datagramError{"peers.late", "datagram is too old"}
	errDuplicateDatagram = &datagramError{"peers.doubled", "datagram is a duplicate"}
	errPeerRateExceeded  = &datagramError{"peers.too_many", "peer exceeds its rate limit"}
)

// encodeDatagram returns a datagram with the message data and the send time sentAt in Unix microseconds; nil if the
// message is too long.
func encodeDatagram(sentAt int64, data []byte) []byte {
	if len(data) > maxPeerDatagram-peerOverhead {
		return nil
	}
	head := peerMagic<<peerTimeBits | uint64(sentAt)&(1<<peerTimeBits-1)
	b := binary.BigEndian.AppendUint64(make([]byte, 0, peerOverhead+len(data)), head)
	b = append(b, data...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoliTable))
}

// peerReceiver checks the datagrams received from one peer: it limits their rate and rejects duplicates.
type peerReceiver struct {
	tokens          float64                  // messages that the peer may send now without exceeding its rate
	updatedAt       int64                    // time of the last datagram, in Unix microseconds
	recentSendTimes [peerHistoryLength]int64 // of the last accepted datagrams, in Unix microseconds; 0: unused
	nextSlot        int                      // index in recentSendTimes of the next send time
}

// decode checks a datagram received at now, in Unix microseconds, and returns a copy of its message. Datagrams may
// arrive in another order than they were sent. An invalid datagram counts against the rate too. The error is a
// *datagramError.
func (p *peerReceiver) decode(now int64, raw []byte) ([]byte, error) {
	p.tokens = min(maxPeerBurst, p.tokens+float64(now-p.updatedAt)*maxPeerRate/1e6)
	p.updatedAt = now
	if p.tokens < 1 {
		return nil, errPeerRateExceeded
	}
	p.tokens--
	if len(raw) < peerOverhead || len(raw) > maxPeerDatagram {
		return nil, errCorruptDatagram
	}
	head, body, sum := binary.BigEndian.Uint64(raw), raw[:len(raw)-4], binary.BigEndian.Uint32(raw[len(raw)-4:])
	if head>>peerTimeBits != peerMagic || crc32.Checksum(body, castagnoliTable) != sum {
		return nil, errCorruptDatagram
	}
	sentAt := int64(head & (1<<peerTimeBits - 1))
	switch {
	case sentAt > now+maxPeerAgeMicros: // the machines' clocks agree, so the time is invalid
		return nil, errCorruptDatagram
	case sentAt < now-maxPeerAgeMicros:
		return nil, errStaleDatagram
	case slices.Contains(p.recentSendTimes[:], sentAt):
		return nil, errDuplicateDatagram
	}
	p.recentSendTimes[p.nextSlot] = sentAt
	p.nextSlot = (p.nextSlot + 1) % peerHistoryLength
	return append([]byte(nil), body[8:]...), nil
}

// peers exchanges the decision module's gossip messages with other schedulers over UDP. One goroutine reads and one
// writes, so that neither blocks the core.
type peers struct {
	listen    string
	conn      *net.UDPConn // nil before open
	peerAddrs []netip.AddrPort
	broadcast netip.AddrPort // address that reaches all peers; not valid if there is none
	ownIndex  int
	clock     core.Clock
	counters  *counters.Set
	receive   func(from int, data []byte) // called by the goroutine of read with the peer's index
	outgoing  chan datagram
	lastSent  int64 // send time of the last message in Unix microseconds; used only by the core's goroutine
	stopped   chan struct{}
	stopOnce  sync.Once
	loops     sync.WaitGroup // waits for the goroutines of read and write
}

// datagram is an encoded datagram that waits to be sent.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// newPeers returns the peers of the scheduler whose index in c.Addresses is ownIndex. It parses c.Addresses and, unless
// it is empty, c.Broadcast; an address that is not of the form IP:port is an error. c.Listen is parsed only by open,
// which opens the socket.
func newPeers(
	c config.Peers, ownIndex int, clock core.Clock, set *counters.Set, receive func(from int, data []byte),
) (*peers, error) {
	p := &peers{
		listen: c.Listen, ownIndex: ownIndex, clock: clock, counters: set, receive: receive,
		outgoing: make(chan datagram, peerQueueLength), stopped: make(chan struct{}),
	}
	for i, text := range append([]string{c.Broadcast}, c.Addresses...) {
		addr, err := netip.ParseAddrPort(text)
		switch {
		case i == 0 && text == "":
		case err != nil:
			return nil, fmt.Errorf("peers, peers_all: %w", err)
		case i == 0:
			p.broadcast = addr
		default:
			p.peerAddrs = append(p.peerAddrs, addr)
		}
	}
	return p, nil
}

// open opens the socket and starts reading and writing. If shared is set, another process may have the same address
// open. Until open is called, outgoing messages are queued, and dropped once the queue is full. The error names the
// configuration key.
func (p *peers) open(shared bool) (err error) {
	if shared {
		p.conn, err = upgrade.ListenPacket(p.listen)
	} else {
		var addr *net.UDPAddr
		if addr, err = net.ResolveUDPAddr("udp", p.listen); err == nil {
			p.conn, err = net.ListenUDP("udp", addr)
		}
	}
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	p.loops.Go(p.read)
	p.loops.Go(p.write)
	return nil
}

// Send implements core.Peers. It counts and drops a message that is too long or does not fit into the queue. It ignores
// an index that no peer has.
func (p *peers) Send(to int, data []byte) {
	p.lastSent = max(p.lastSent+1, p.clock.Now()/1000)
	b := encodeDatagram(p.lastSent, data)
	switch {
	case b == nil:
		p.counters.Add("peers.too_long")
	case to >= 0 && to < len(p.peerAddrs):
		p.enqueue(p.peerAddrs[to], b)
	case to < 0 && p.broadcast.IsValid():
		p.enqueue(p.broadcast, b)
	case to < 0:
		for i, addr := range p.peerAddrs {
			if i != p.ownIndex {
				p.enqueue(addr, b)
			}
		}
	}
}

// enqueue queues a datagram to be sent, or drops and counts it if the queue is full.
func (p *peers) enqueue(to netip.AddrPort, packet []byte) {
	select {
	case p.outgoing <- datagram{to, packet}:
	default:
		p.counters.Add("peers.dropped")
	}
}

// write sends queued datagrams until stop is called. It counts each as sent or, after an error, as not sent.
func (p *peers) write() {
	for {
		select {
		case d := <-p.outgoing:
			if _, err := p.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
				p.counters.Add("peers.not_sent")
			} else {
				p.counters.Add("peers.sent")
			}
		case <-p.stopped:
			return
		}
	}
}

// read receives datagrams until the socket is closed. It counts and drops a datagram that comes from an unknown
// address, is corrupt, too long, too old or a duplicate, or exceeds the peer's rate.
func (p *peers) read() {
	indexByAddr := map[netip.AddrPort]int{}
	for i, addr := range p.peerAddrs {
		if i != p.ownIndex {
			indexByAddr[addr] = i
		}
	}
	receivers := make([]peerReceiver, len(p.peerAddrs))
	buf := make([]byte, maxPeerDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		i, known := indexByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case err != nil: // most likely an ICMP error for an earlier datagram to a port without a socket
			continue
		case !known:
			p.counters.Add("peers.stranger")
			continue
		}
		data, err := receivers[i].decode(p.clock.Now()/1000, buf[:n])
		if err != nil {
			var dropped *datagramError
			if errors.As(err, &dropped) {
				p.counters.Add(dropped.counter)
			}
			continue
		}
		p.counters.Add("peers.heard")
		p.receive(i, data)
	}
}

// stop closes the socket, ends both goroutines and waits for them. No message is sent or received after it returns.
func (p *peers) stop() {
	p.stopOnce.Do(func() {
		close(p.stopped)
		if p.conn != nil {
			_ = p.conn.Close()
		}
	})
	p.loops.Wait()
}

var _ core.Peers = (*peers)(nil)
