package platform

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// withDescriptor calls f with the descriptor of a connection or a listener, unless that has none, as in some
// tests, or is closed.
func withDescriptor(socket any, f func(fd int)) {
	if syscallConn, ok := socket.(syscall.Conn); ok {
		if raw, err := syscallConn.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails on a closed one, before f is called
		}
	}
}

// peek looks for a byte on a socket without taking it.
func peek(fd int) (n int, err error) {
	n, _, err = syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// isRetryable reports whether a system call only found nothing to do yet.
func isRetryable(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// readable reports whether a socket has something to read, an end or an error included.
func readable(fd int) bool {
	_, err := peek(fd)
	return !isRetryable(err)
}

// hasInput reports whether a connection has something to read, or has ended.
func hasInput(conn net.Conn) (found bool) {
	withDescriptor(conn, func(fd int) { found = readable(fd) })
	return found
}

// peerClosed reports whether the other side has ended a connection, or its sending on it. It cannot tell
// while something is unread.
func peerClosed(conn net.Conn) (closed bool) {
	withDescriptor(conn, func(fd int) {
		n, err := peek(fd)
		closed = n <= 0 && !isRetryable(err)
	})
	return closed
}

// hasUnsentBytes reports whether some of what was written has not reached the other side's machine.
func hasUnsentBytes(conn net.Conn) bool {
	unsent := 0
	withDescriptor(conn, func(fd int) { unsent, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return unsent > 0
}

// hasPendingConn reports whether a listener has a connection that is not accepted.
func hasPendingConn(l net.Listener) (pending bool) {
	withDescriptor(l, func(fd int) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return pending
}
