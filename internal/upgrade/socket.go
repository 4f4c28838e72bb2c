package upgrade

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// newestListenerIndex is the index of the newer listener while two share a port: the kernel numbers the
// listeners from 0 in the order in which they began to listen. If no listener has this index, the kernel
// selects one of the existing listeners.
const newestListenerIndex = 1

// reusePortConfig returns a ListenConfig that sets SO_REUSEPORT, so that another process of the same user may
// listen on the same address.
func reusePortConfig() net.ListenConfig {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return withDescriptor(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
	config.SetMultipathTCP(false) // the kernel does not attach a steering program to MPTCP sockets
	return config
}

// Listen returns a TCP listener on an address that another process of the same user may listen on at the same
// time, if it also uses Listen.
func Listen(address string) (*net.TCPListener, error) {
	config := reusePortConfig()
	// The context only limits name resolution.
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// ListenPacket returns a UDP socket on an address that another process of the same user may use at the same
// time, if it also uses ListenPacket.
func ListenPacket(address string) (*net.UDPConn, error) {
	config := reusePortConfig()
	// The context only limits name resolution.
	conn, err := config.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UDPConn), nil
}

// SteerToNewest makes the kernel send new connections and datagrams to the newer of two sockets that share an
// address. The argument may be either of them, and must come from Listen or ListenPacket.
func SteerToNewest(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: newestListenerIndex}}
	return withDescriptor(raw, func(fd int) error {
		err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
		if err != nil {
			return fmt.Errorf("cannot attach the steering program for new connections: %w", err)
		}
		return nil
	})
}

// withDescriptor calls f with the file descriptor of a socket and returns the error of f. If the socket is
// closed it returns an error without calling f.
func withDescriptor(raw syscall.RawConn, f func(fd int) error) error {
	var result error
	if err := raw.Control(func(fd uintptr) { result = f(int(fd)) }); err != nil {
		return err
	}
	return result
}
