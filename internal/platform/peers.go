package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"net/netip"
	"time"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A datagram between schedulers: the mark, the time at which it was sent (Unix
// nanoseconds, which also numbers it), the message, and a CRC-32C over all before it.
const (
	peerMark  = 0xf0786c01 // its last byte is the form's version
	peerMost  = 256        // bytes, by the protocol
	peerFrame = 4 + 8 + 4
	peerOld   = 3 * time.Second // a message that is older says nothing any more
	peerQueue = 64              // messages that wait to be sent; more are dropped
	peerEach  = 50 * time.Millisecond
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errGarbled = errors.New("garbled")
	errLate    = errors.New("late")
	errDoubled = errors.New("doubled")
)

// sealPeer makes a datagram; nil if the message is too long for one.
func sealPeer(now int64, data []byte) []byte {
	if len(data) > peerMost-peerFrame {
		return nil
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, peerFrame+len(data)), peerMark)
	b = binary.BigEndian.AppendUint64(b, uint64(now))
	b = append(b, data...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// A peerSeen is what was last heard of a peer: when the message was sent, and when one was
// last passed on.
type peerSeen struct{ sent, passed int64 }

// open reads a datagram that came at a time. Of a flood most go unread: a peer has
// something to say once a second.
func (p *peerSeen) open(now int64, b []byte) ([]byte, error) {
	if p.passed != 0 && now-p.passed < int64(peerEach) {
		return nil, errDoubled
	}
	if len(b) < peerFrame || len(b) > peerMost || binary.BigEndian.Uint32(b) != peerMark {
		return nil, errGarbled
	}
	body, sum := b[:len(b)-4], binary.BigEndian.Uint32(b[len(b)-4:])
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, errGarbled
	}
	sent := int64(binary.BigEndian.Uint64(body[4:]))
	switch {
	case sent > now+int64(peerOld):
		return nil, errGarbled // all clocks are the same: it would hide what comes next
	case sent < now-int64(peerOld):
		return nil, errLate
	case sent <= p.sent:
		return nil, errDoubled
	}
	p.sent, p.passed = sent, now
	return append([]byte(nil), body[12:]...), nil
}

// peers carries the module's messages over UDP. One goroutine reads and one writes;
// neither can hold up the core.
type peers struct {
	conn     *net.UDPConn
	each     []netip.AddrPort
	all      netip.AddrPort // not valid: there is none
	own      int
	clock    core.Clock
	counters *counters.Set
	heard    func(from int, data []byte)
	out      chan datagram
	stopped  chan struct{}
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

func newPeers(c config.Peers, own int, clock core.Clock, set *counters.Set, heard func(int, []byte)) (*peers, error) {
	p := &peers{
		own: own, clock: clock, counters: set, heard: heard,
		out: make(chan datagram, peerQueue), stopped: make(chan struct{}),
	}
	for i, text := range append([]string{c.All}, c.Each...) {
		addr, err := netip.ParseAddrPort(text)
		switch {
		case i == 0 && text == "":
		case err != nil:
			return nil, fmt.Errorf("peers, peers_all: %w", err)
		case i == 0:
			p.all = addr
		default:
			p.each = append(p.each, addr)
		}
	}
	addr, err := net.ResolveUDPAddr("udp", c.Listen)
	if err == nil {
		p.conn, err = net.ListenUDP("udp", addr)
	}
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	go p.read()
	go p.write()
	return p, nil
}

// Tell implements core.Peers.
func (p *peers) Tell(to int, data []byte) {
	b := sealPeer(p.clock.Now(), data)
	switch {
	case b == nil:
		p.counters.Add("peers.too_long")
	case to >= 0 && to < len(p.each):
		p.post(p.each[to], b)
	case to < 0 && p.all.IsValid():
		p.post(p.all, b)
	case to < 0:
		for i, addr := range p.each {
			if i != p.own {
				p.post(addr, b)
			}
		}
	}
}

func (p *peers) post(to netip.AddrPort, b []byte) {
	select {
	case p.out <- datagram{to, b}:
	default:
		p.counters.Add("peers.dropped")
	}
}

func (p *peers) write() {
	for {
		select {
		case d := <-p.out:
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

// read takes datagrams until the socket is closed. What comes from a stranger, is garbled,
// too long, late or doubled is counted and goes no further.
func (p *peers) read() {
	who := map[netip.AddrPort]int{}
	for i, addr := range p.each {
		if i != p.own {
			who[addr] = i
		}
	}
	seen := make([]peerSeen, len(p.each))
	buf := make([]byte, peerMost+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		i, known := who[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case err != nil: // an answer to a datagram that reached nobody, most likely
			continue
		case !known:
			p.counters.Add("peers.stranger")
			continue
		}
		data, err := seen[i].open(p.clock.Now(), buf[:n])
		if err != nil {
			p.counters.Add("peers." + err.Error())
			continue
		}
		p.counters.Add("peers.heard")
		p.heard(i, data)
	}
}

// stop ends both goroutines; nothing is sent or heard any more.
func (p *peers) stop() {
	close(p.stopped)
	p.conn.Close()
}

var _ core.Peers = (*peers)(nil)
