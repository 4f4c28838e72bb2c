package platform

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// withDescriptor calls f with the file descriptor of a connection or a listener. It does not call f if the socket has
// no descriptor, as in some tests, or is closed; hasInput, peerClosed, hasUnsentBytes and hasPendingConn
// return false then, and sinceLastInput and pendingConns 0.
func withDescriptor(socket any, f func(fd int)) {
	if syscallConn, ok := socket.(syscall.Conn); ok {
		if raw, err := syscallConn.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails on a closed socket, before f is called
		}
	}
}

// peek reads one byte from a socket without consuming it or waiting.
func peek(fd int) (n int, err error) {
	n, _, err = syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// isRetryable reports whether a system call failed only because it would block or was interrupted.
func isRetryable(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// readable reports whether a read of a socket would not block: it has data, its end was reached, or it failed.
func readable(fd int) bool {
	_, err := peek(fd)
	return !isRetryable(err)
}

// hasInput reports whether a connection has data to read or has ended.
func hasInput(conn net.Conn) (found bool) {
	withDescriptor(conn, func(fd int) { found = readable(fd) })
	return found
}

// peerClosed reports whether the other side has closed a connection or its write side, or the connection has failed,
// also while received data is unread. It returns false as long as the end is behind data that the kernel of this host
// has not received yet.
func peerClosed(conn net.Conn) (closed bool) {
	withDescriptor(conn, func(fd int) {
		n, err := peek(fd)
		closed = n <= 0 && !isRetryable(err) || n > 0 && hungUp(fd)
	})
	return closed
}

// hungUp reports whether the end of the other side's sending has been received, even if data before it is unread.
func hungUp(fd int) bool {
	return pollEvents(fd, unix.POLLRDHUP) != 0
}

// pollEvents returns which of the events, or of errors and hang-ups, have occurred on a descriptor; 0 if the kernel
// does not report it.
func pollEvents(fd int, events int16) int16 {
	polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if _, err := unix.Poll(polled, 0); err != nil {
		return 0
	}
	return polled[0].Revents
}

// maxInputAge bounds the result of sinceLastInput.
const maxInputAge = time.Minute

// sinceLastInput returns the time since the kernel last received data on a connection, or since the connection was
// established if it has received none; 0 if the kernel does not report it.
func sinceLastInput(conn net.Conn) time.Duration {
	return min(time.Duration(tcpInfo(conn).Last_data_recv)*time.Millisecond, maxInputAge)
}

// tcpInfo returns what the kernel reports of a connection or a listener; zeros if it reports nothing.
func tcpInfo(socket any) (info unix.TCPInfo) {
	withDescriptor(socket, func(fd int) {
		if reported, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = *reported
		}
	})
	return info
}

// hasUnsentBytes reports whether the other side's host has not yet acknowledged all written bytes.
func hasUnsentBytes(conn net.Conn) bool {
	unsent := 0
	withDescriptor(conn, func(fd int) { unsent, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return unsent > 0
}

// pendingConns returns the number of connections in the backlog of a listener; 0 if the kernel does not report it.
func pendingConns(l net.Listener) int {
	info := tcpInfo(l)
	return int(info.Unacked) // of a listening socket, the length of its backlog
}

// hasPendingConn reports whether the backlog of a listener holds a connection.
func hasPendingConn(l net.Listener) (pending bool) {
	withDescriptor(l, func(fd int) { pending = pollEvents(fd, unix.POLLIN) != 0 })
	return pending
}
