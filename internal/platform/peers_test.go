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

// What comes from a stranger, is too long, garbled, late, doubled or one of a flood is counted
// and goes no further; what a peer says does, in any order.
func TestPeerDatagrams(t *testing.T) {
	open := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger, clock, set := open(), open(), core.NewClock(), &counters.Set{}
	heard := make(chan string, 1000)
	p, err := newPeers(config.Peers{Listen: "127.0.0.1:0", Each: []string{"127.0.0.1:9", peer.LocalAddr().String()}}, 0, clock, set,
		func(from int, data []byte) { heard <- fmt.Sprint(from, string(data)) })
	if err != nil {
		t.Fatal(err)
	}
	if err := p.open(false); err != nil {
		t.Fatal(err)
	}
	defer p.stop()
	to := p.conn.LocalAddr()
	now := func() int64 { return clock.Now() / 1000 }
	say := func(from *net.UDPConn, b []byte) {
		if _, err := from.WriteTo(b, to); err != nil {
			t.Fatal(err)
		}
	}
	at := now()
	second, first := sealPeer(at, []byte("second")), sealPeer(at-5000, []byte("first"))
	say(stranger, second)
	say(peer, second)
	say(peer, first)
	say(peer, second)
	say(peer, append(slices.Clone(second), make([]byte, maxPeerDatagram)...))
	say(peer, sealPeer(at-2*maxPeerAge, []byte("old")))
	say(peer, sealPeer(at+2*maxPeerAge, []byte("of the future")))
	for i := range second {
		b := slices.Clone(second)
		b[i] ^= 0x10
		say(peer, b)
		say(peer, b[:i])
	}
	say(peer, sealPeer(at+1, []byte("last")))
	for _, want := range []string{"1second", "1first", "1last"} {
		select {
		case got := <-heard:
			check(t, "heard", got, want)
		case <-time.After(patience):
			t.Fatal("nothing is heard")
		}
	}
	for name, want := range map[string]int64{"stranger": 1, "doubled": 1, "late": 1, "garbled": 2 + 2*int64(len(second)), "heard": 3} {
		check(t, name, set.Get("peers."+name), want)
	}
	seen := peerReceiver{updatedAt: at}
	passed := 0
	for i := range 10000 { // in 10 ms
		if _, err := seen.open(at+int64(i), sealPeer(at+int64(i), nil)); err == nil {
			passed++
		}
	}
	if passed > peerRate/50 {
		t.Errorf("%d of a flood of 10,000 pass", passed)
	}
	if p.Send(1, make([]byte, maxPeerDatagram)); set.Get("peers.too_long") != 1 {
		t.Error("a message that is too long is sent")
	}
	p.Send(-1, []byte("to all"))
	b := make([]byte, 2*maxPeerDatagram)
	peer.SetReadDeadline(time.Now().Add(patience))
	if n, err := peer.Read(b); err != nil || n != len("to all")+peerFrame {
		t.Errorf("%d bytes, %v", n, err)
	}
}
