package platform

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// listenUDP opens a socket on loopback.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// startPeers starts the peer exchange of scheduler 0, with peer as the scheduler at index 1.
func startPeers(t *testing.T, peer *net.UDPConn, receive func(from int, data []byte)) (*peers, *counters.Set) {
	t.Helper()
	set := &counters.Set{}
	c := config.Peers{Listen: "127.0.0.1:0", Addresses: []string{"127.0.0.1:9", peer.LocalAddr().String()}}
	p, err := newPeers(c, 0, core.NewClock(), set, receive)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.open(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.stop)
	return p, set
}

// Guards against accepting datagrams that come from an unknown address or are too long, corrupt, too old or duplicates.
// They are counted and dropped. Valid datagrams of a peer are accepted in any order.
func TestPeerDatagrams(t *testing.T) {
	peer, unknown := listenUDP(t), listenUDP(t)
	received := make(chan string, 1000)
	p, set := startPeers(t, peer, func(from int, data []byte) { received <- fmt.Sprint(from, string(data)) })
	addr := p.conn.LocalAddr()
	send := func(from *net.UDPConn, b []byte) {
		if _, err := from.WriteTo(b, addr); err != nil {
			t.Fatal(err)
		}
	}
	now := p.clock.Now() / 1000
	second, first := encodeDatagram(now, []byte("second")), encodeDatagram(now-5000, []byte("first"))
	send(unknown, second)
	send(peer, second)
	send(peer, first)
	send(peer, second)
	send(peer, append(slices.Clone(second), make([]byte, maxPeerDatagram)...))
	send(peer, encodeDatagram(now-2*maxPeerAgeMicros, []byte("old")))
	send(peer, encodeDatagram(now+2*maxPeerAgeMicros, []byte("of the future")))
	for i := range second {
		b := slices.Clone(second)
		b[i] ^= 0x10
		send(peer, b)
		send(peer, b[:i])
	}
	send(peer, encodeDatagram(now+1, []byte("last")))
	for _, want := range []string{"1second", "1first", "1last"} {
		select {
		case got := <-received:
			check(t, "received message", got, want)
		case <-time.After(waitTimeout):
			t.Fatalf("no message received within %v, want %q", waitTimeout, want)
		}
	}
	garbled := 2 + 2*int64(len(second))
	for name, want := range map[string]int64{
		"stranger": 1, "doubled": 1, "late": 1, "garbled": garbled, "heard": 3,
	} {
		check(t, "counter peers."+name, set.Get("peers."+name), want)
	}
}

// Guards against a peer that floods the scheduler with datagrams: datagrams over its rate are dropped.
func TestPeerRateLimit(t *testing.T) {
	now := core.NewClock().Now() / 1000
	receiver := peerReceiver{updatedAt: now}
	accepted := 0
	for i := range 10000 { // in 10 ms
		if _, err := receiver.decode(now+int64(i), encodeDatagram(now+int64(i), nil)); err == nil {
			accepted++
		}
	}
	if accepted > maxPeerRate/50 {
		t.Errorf("%d of 10,000 datagrams in 10 ms accepted, want at most %d", accepted, maxPeerRate/50)
	}
}

// Guards against sending a message to the wrong peers, or one that is too long for a datagram, which is counted and
// dropped.
func TestPeerSend(t *testing.T) {
	peer := listenUDP(t)
	p, set := startPeers(t, peer, func(int, []byte) {})
	if p.Send(1, make([]byte, maxPeerDatagram)); set.Get("peers.too_long") != 1 {
		t.Errorf("Send() of %d bytes: counter peers.too_long is not 1", maxPeerDatagram)
	}
	p.Send(-1, []byte("to all"))
	b := make([]byte, 2*maxPeerDatagram)
	if err := peer.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := peer.Read(b); err != nil || n != len("to all")+peerOverhead {
		t.Errorf("peer received %d bytes, error %v, want %d bytes", n, err, len("to all")+peerOverhead)
	}
}
