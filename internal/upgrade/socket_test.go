package upgrade

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vatu-meals/foxlift/internal/dialtest"
)

const (
	ioTimeout   = 20 * time.Second // of one read on a connection or socket
	connections = 200              // opened in each step
)

// listen returns a listener that is closed at the end of the test.
func listen(t *testing.T, address string) *net.TCPListener {
	t.Helper()
	l, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// listenPacket returns a UDP socket that is closed at the end of the test.
func listenPacket(t *testing.T, address string) *net.UDPConn {
	t.Helper()
	c, err := ListenPacket(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// openConnections opens connections to a listener, which remain in its accept queue.
func openConnections(t *testing.T, l net.Listener) (opened []net.Conn) {
	t.Helper()
	for range connections {
		c := dialtest.Dial(t, "tcp", l.Addr().String())
		c.SetDeadline(time.Now().Add(ioTimeout))
		opened = append(opened, c)
	}
	return opened
}

// hasPending reports whether a connection is in a listener's accept queue.
func hasPending(t *testing.T, l *net.TCPListener) bool {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ready := 0
	if err := raw.Control(func(fd uintptr) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}); err != nil {
		t.Fatal(err)
	}
	return err == nil && ready > 0
}

// acceptAll accepts the connections in a listener's accept queue, writes a name to each, and returns their
// number.
func acceptAll(t *testing.T, l *net.TCPListener, name string) (n int) {
	t.Helper()
	for {
		if err := l.SetDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		c, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && hasPending(t, l) {
			continue // the process stood still past the deadline
		}
		if err != nil {
			return n
		}
		if _, err := io.WriteString(c, name); err != nil {
			t.Fatal(err)
		}
		c.Close()
		n++
	}
}

// expectNames checks that every connection received the name of the listener that should have accepted it.
func expectNames(t *testing.T, opened []net.Conn, name string) {
	t.Helper()
	for i, c := range opened {
		if text, err := io.ReadAll(c); string(text) != name {
			t.Fatalf("connection %d received %q, %v; want %q", i, text, err, name)
		}
	}
}

// A connection that the kernel queues at a listener that is about to close is lost. While two listeners share
// an address, all new connections must go to the newer one, through two upgrades; if the newest closes, they
// must go to the remaining one.
func TestConnectionsGoToNewestListener(t *testing.T) {
	predecessor := listen(t, "127.0.0.1:0")
	before := openConnections(t, predecessor)
	successor := listen(t, predecessor.Addr().String())
	if err := SteerToNewest(successor); err != nil {
		t.Fatal(err)
	}
	after := openConnections(t, successor)
	check(t, "accepted by the predecessor", acceptAll(t, predecessor, "predecessor"), connections)
	predecessor.Close()
	expectNames(t, before, "predecessor")
	check(t, "accepted by the successor", acceptAll(t, successor, "successor"), connections)
	expectNames(t, after, "successor")

	third := listen(t, successor.Addr().String())
	if err := SteerToNewest(third); err != nil {
		t.Fatal(err)
	}
	after = openConnections(t, third)
	check(t, "accepted by the older listener", acceptAll(t, successor, "successor"), 0)
	check(t, "accepted by the third", acceptAll(t, third, "third"), connections)
	expectNames(t, after, "third")
	third.Close() // all new connections go to the older listener again
	after = openConnections(t, successor)
	check(t, "accepted after the third has closed", acceptAll(t, successor, "successor"), connections)
	expectNames(t, after, "successor")
}

// Datagrams also go to the newer of two sockets that share an address.
func TestDatagramsGoToNewestSocket(t *testing.T) {
	predecessor := listenPacket(t, "127.0.0.1:0")
	successor := listenPacket(t, predecessor.LocalAddr().String())
	if err := SteerToNewest(successor); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		sender := dialtest.Dial(t, "udp", successor.LocalAddr().String())
		if _, err := sender.Write([]byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
		if err := successor.SetReadDeadline(time.Now().Add(ioTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := successor.Read(make([]byte, 1)); err != nil {
			t.Fatalf("datagram %d: %v", i, err)
		}
	}
}
