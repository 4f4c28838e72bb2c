package upgrade

import (
	"io"
	"net"
	"testing"
	"time"
)

const (
	patience    = 20 * time.Second
	connections = 200
)

func listen(t *testing.T, address string) *net.TCPListener {
	t.Helper()
	l, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// open opens connections that nobody has accepted yet.
func open(t *testing.T, l net.Listener) (opened []net.Conn) {
	t.Helper()
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		opened = append(opened, c)
	}
	return opened
}

// acceptAll takes what waits at a listener and writes its name to each.
func acceptAll(t *testing.T, l *net.TCPListener, name string) (n int) {
	t.Helper()
	for {
		l.SetDeadline(time.Now().Add(10 * time.Millisecond))
		c, err := l.Accept()
		if err != nil {
			return n
		}
		io.WriteString(c, name)
		c.Close()
		n++
	}
}

func answered(t *testing.T, opened []net.Conn, name string) {
	t.Helper()
	for i, c := range opened {
		if text, err := io.ReadAll(c); string(text) != name {
			t.Fatalf("connection %d: %q, %v; want %q", i, text, err, name)
		}
	}
}

// Two listeners share an address, all new connections go to the newer one, and nothing is left in
// the older one's queue when it closes; through two upgrades, and when a new process dies.
func TestSteer(t *testing.T) {
	older := listen(t, "127.0.0.1:0")
	before := open(t, older)
	newer := listen(t, older.Addr().String())
	if err := SteerToNewest(newer); err != nil {
		t.Fatal(err)
	}
	after := open(t, newer)
	check(t, "accepted by the older", acceptAll(t, older, "older"), connections)
	older.Close()
	answered(t, before, "older")
	check(t, "accepted by the newer", acceptAll(t, newer, "newer"), connections)
	answered(t, after, "newer")

	third := listen(t, newer.Addr().String())
	if err := SteerToNewest(third); err != nil {
		t.Fatal(err)
	}
	after = open(t, third)
	check(t, "accepted by the one before", acceptAll(t, newer, "newer"), 0)
	check(t, "accepted by the third", acceptAll(t, third, "third"), connections)
	answered(t, after, "third")
	third.Close() // it dies: the one before gets everything again
	after = open(t, newer)
	check(t, "accepted after the third's end", acceptAll(t, newer, "newer"), connections)
	answered(t, after, "newer")
}

// Datagrams go to the newer of two sockets, too.
func TestSteerDatagrams(t *testing.T) {
	older, err := ListenPacket("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer older.Close()
	newer, err := ListenPacket(older.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer newer.Close()
	if err := SteerToNewest(newer); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		from, err := net.Dial("udp", newer.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		from.Write([]byte{byte(i)})
		newer.SetReadDeadline(time.Now().Add(patience))
		if _, err := newer.Read(make([]byte, 1)); err != nil {
			t.Fatalf("datagram %d: %v", i, err)
		}
	}
}
