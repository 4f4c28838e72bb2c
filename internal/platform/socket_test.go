package platform

import (
	"strings"
	"testing"
)

// The close of a client must be detected even if data that it sent before is unread. Otherwise its job is sent to a
// worker after it has left.
func TestPeerClosedBehindUnreadData(t *testing.T) {
	for name, end := range map[string]func(far closer) error{
		"closed":          func(far closer) error { return far.Close() },
		"sending ended":   func(far closer) error { return far.CloseWrite() },
		"closed by reset": func(far closer) error { _ = far.SetLinger(0); return far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pipe(t)
			writeText(t, far, strings.Repeat("x", maxHeadBytes))
			await(t, "the data has arrived", func() bool { return hasInput(near) })
			if peerClosed(near) {
				t.Error("peerClosed() = true for an open connection with unread data, want false")
			}
			if err := end(far); err != nil {
				t.Fatal(err)
			}
			await(t, "the close is detected", func() bool { return peerClosed(near) })
		})
	}
}

// closer is the part of a net.TCPConn that ends a connection.
type closer interface {
	Close() error
	CloseWrite() error
	SetLinger(seconds int) error
}
