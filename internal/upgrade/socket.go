package upgrade

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// newestOfTwo is the index of the newest listener while two share a port: the kernel numbers them from
// 0 in the order in which they began to listen. With an index that none has, the kernel chooses among
// the listeners that exist.
const newestListenerIndex = 1

// reusePortConfig sets SO_REUSEPORT, so that another process of the same user may listen on the address.
func reusePortConfig() net.ListenConfig {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return withDescriptor(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
	config.SetMultipathTCP(false) // the kernel attaches no steering program to such sockets
	return config
}

// Listen listens on a TCP address that another process may listen on too.
func Listen(address string) (*net.TCPListener, error) {
	config := reusePortConfig()
	// The context only bounds the resolution of names.
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// ListenPacket opens a UDP socket on an address that another process may have open too.
func ListenPacket(address string) (*net.UDPConn, error) {
	config := reusePortConfig()
	// The context only bounds the resolution of names.
	conn, err := config.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UDPConn), nil
}

// SteerToNewest directs new connections and datagrams to the newer of the two sockets that share an
// address. Either socket may be given.
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
			return fmt.Errorf("new connections cannot be steered: %w", err)
		}
		return nil
	})
}

// withDescriptor calls f with a socket's descriptor and returns its error.
func withDescriptor(raw syscall.RawConn, f func(fd int) error) error {
	var result error
	if err := raw.Control(func(fd uintptr) { result = f(int(fd)) }); err != nil {
		return err
	}
	return result
}
