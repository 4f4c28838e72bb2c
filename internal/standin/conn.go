package standin

import (
	"context"
	"net"
	"time"
)

// listenAddr is a free port of loopback.
const listenAddr = "127.0.0.1:0"

// Listen listens on a free port of loopback.
func Listen() (net.Listener, error) { return ListenOn(listenAddr) }

// ListenOn listens on a TCP address.
func ListenOn(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", addr) // binding does not block
}

// Dial connects to a TCP address within a timeout; 0: the operating system's own.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp", addr) // the timeout bounds it
}

// ResetConn closes a TCP connection with a reset in place of an orderly end, as the kernel does for a process that
// died. Any other connection is just closed.
func ResetConn(c net.Conn) {
	ResetOnClose(c)
	c.Close()
}

// ResetOnClose makes the connection's close, by whomever, a reset.
func ResetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
}

// CloseWrite ends the sending direction of a TCP connection.
func CloseWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only on a connection that has ended already
	}
}
