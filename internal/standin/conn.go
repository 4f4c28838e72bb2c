package standin

import (
	"context"
	"net"
	"time"
)

// listenAddr lets the operating system choose a free loopback port.
const listenAddr = "127.0.0.1:0"

// Listen listens on a free TCP port of the loopback interface.
func Listen() (net.Listener, error) { return ListenOn(listenAddr) }

// ListenOn listens on a TCP address.
func ListenOn(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", addr) // binding does not block
}

// Dial connects to a TCP address within a timeout; 0 leaves the timeout to the operating system.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp", addr) // the timeout bounds the call
}

// ResetConn closes a TCP connection with RST instead of FIN, as the kernel does for a process that died. It closes
// any other connection normally.
func ResetConn(c net.Conn) {
	ResetOnClose(c)
	c.Close()
}

// ResetOnClose makes any later Close of a TCP connection send RST instead of FIN.
func ResetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is already closed
	}
}

// CloseWrite closes the sending direction of a TCP connection. It does nothing to any other connection.
func CloseWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only on a connection that has already ended
	}
}
