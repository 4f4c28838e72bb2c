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

// A datagram between schedulers: a mark with the format's version and the time at which it was sent (12 and 52 bits
// of one number, the time in Unix microseconds; no two have the same), the message, and a CRC-32C over both.
const (
	peerMagic         = 0xf01
	peerTimeBits      = 52
	maxPeerDatagram   = 256 // bytes, by the protocol
	peerOverhead      = 8 + 4
	maxPeerAgeMicros  = 3_000_000 // microseconds; older messages are dropped
	peerQueueLength   = 64        // messages queued to be sent; more are dropped
	maxPeerRate       = 1000      // messages a second that are accepted from a peer,
	maxPeerBurst      = 200       // and so many at once: a peer sends two for each job
	peerHistoryLength = 64        // last messages of a peer, to recognize a duplicate
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// A datagramError is why a datagram is dropped. Each has a counter.
type datagramError struct {
	counter string
	text    string
}

// Error implements error.
func (e *datagramError) Error() string { return e.text }

var (
	errCorruptDatagram   = &datagramError{"peers.garbled", "the datagram is garbled"}
	errStaleDatagram     = &datagramError{"peers.late", "the datagram is too old"}
	errDuplicateDatagram = &datagramError{"peers.doubled", "the datagram is a duplicate"}
	errPeerRateExceeded  = &datagramError{"peers.too_many", "the peer sends too many datagrams"}
)

// sealPeer makes a datagram; nil if the message is too long for one.
func encodeDatagram(sentAt int64, data []byte) []byte {
	if len(data) > maxPeerDatagram-peerOverhead {
		return nil
	}
	head := peerMagic<<peerTimeBits | uint64(sentAt)&(1<<peerTimeBits-1)
	b := binary.BigEndian.AppendUint64(make([]byte, 0, peerOverhead+len(data)), head)
	b = append(b, data...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoliTable))
}

// A peerReceiver is what was last received from a peer.
type peerReceiver struct {
	tokens          float64 // messages that it may send at once
	updatedAt       int64   // time of the last one, in microseconds
	recentSendTimes [peerHistoryLength]int64
	nextSlot        int
}

// open reads a datagram that came at now (Unix microseconds) and returns its message. The messages may be in
// another order than they were sent. Its error is a *datagramError.
func (p *peerReceiver) decode(now int64, packet []byte) ([]byte, error) {
	p.tokens = min(maxPeerBurst, p.tokens+float64(now-p.updatedAt)*maxPeerRate/1e6)
	p.updatedAt = now
	if p.tokens < 1 {
		return nil, errPeerRateExceeded
	}
	p.tokens--
	if len(packet) < peerOverhead || len(packet) > maxPeerDatagram {
		return nil, errCorruptDatagram
	}
	head, body, sum := binary.BigEndian.Uint64(packet), packet[:len(packet)-4], binary.BigEndian.Uint32(packet[len(packet)-4:])
	if head>>peerTimeBits != peerMagic || crc32.Checksum(body, castagnoliTable) != sum {
		return nil, errCorruptDatagram
	}
	sentAt := int64(head & (1<<peerTimeBits - 1))
	switch {
	case sentAt > now+maxPeerAgeMicros: // all clocks are the same
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

// peers carries the decision module's gossip over UDP. One goroutine reads and one writes; neither can hold up the
// core.
type peers struct {
	listen    string
	conn      *net.UDPConn
	peerAddrs []netip.AddrPort
	broadcast netip.AddrPort // not valid: there is none
	ownIndex  int
	clock     core.Clock
	counters  *counters.Set
	receive   func(from int, data []byte)
	outgoing  chan datagram
	lastSent  int64 // when the last message was sent, so that the next is later; of the core's goroutine
	stopped   chan struct{}
	stopOnce  sync.Once
	loops     sync.WaitGroup // read and write
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

func newPeers(
	c config.Peers, ownIndex int, clock core.Clock, set *counters.Set, receive func(from int, data []byte),
) (*peers, error) {
	p := &peers{
		listen: c.Listen, ownIndex: ownIndex, clock: clock, counters: set, receive: receive,
		outgoing: make(chan datagram, peerQueueLength), stopped: make(chan struct{}),
	}
	for i, text := range append([]string{c.All}, c.Each...) {
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

// open opens the socket, which another process may have open too if it is shared. Before that,
// messages to others are dropped.
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

// Send implements core.Peers.
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

func (p *peers) enqueue(to netip.AddrPort, packet []byte) {
	select {
	case p.outgoing <- datagram{to, packet}:
	default:
		p.counters.Add("peers.dropped")
	}
}

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

// read receives datagrams until the socket is closed. What comes from an unknown address, is garbled, too long, late,
// a duplicate or one of a flood is counted and dropped.
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
		case err != nil: // an ICMP answer to a datagram that reached nobody, most likely
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

// stop ends both goroutines and waits for them; nothing is sent or received any more.
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
