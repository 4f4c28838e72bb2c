package fleet

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Messaging forwards datagrams between the processes, and can lose, duplicate, delay and corrupt them.
// Each process has a separate address for each peer.
type Messaging struct {
	listen    []string   // the address on which each process receives
	addresses [][]string // by process, then by peer; the entry for itself is unused

	lost, duplicated, corrupted atomic.Int64 // percent of the datagrams
	delay                       atomic.Int64 // maximum, in nanoseconds

	sockets    []*net.UDPConn
	forwarding sync.WaitGroup
	delayed    sync.WaitGroup // waits for delayed datagrams
}

const (
	maxDatagramSize = 2048
	delayMultiplier = 7919 // a prime, so that successive datagrams have very different delays
)

// SetFaults sets which percentages of the datagrams are lost, duplicated and corrupted, and the
// maximum delay, for the datagrams that are forwarded from then on. The datagrams of each process to each
// peer are numbered, and with these settings their numbers determine the faults and the delays. Delays
// differ between datagrams, so that they are reordered.
func (m *Messaging) SetFaults(lost, duplicated, corrupted int, delay time.Duration) {
	m.lost.Store(int64(lost))
	m.duplicated.Store(int64(duplicated))
	m.corrupted.Store(int64(corrupted))
	m.delay.Store(int64(delay))
}

// newMessaging connects the given number of processes.
func newMessaging(processes int) (*Messaging, error) {
	m := &Messaging{}
	if err := m.connect(processes); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

// connect opens the sockets and starts forwarding.
func (m *Messaging) connect(processes int) error {
	sockets := make([][]*net.UDPConn, processes) // sockets[i][j] has the address that process i uses for process j
	for i := range sockets {
		if err := m.choosePort(); err != nil {
			return err
		}
		addresses := make([]string, processes)
		for j := range addresses {
			socket, err := m.openSocket()
			if err != nil {
				return err
			}
			sockets[i] = append(sockets[i], socket)
			addresses[j] = socket.LocalAddr().String()
		}
		m.addresses = append(m.addresses, addresses)
	}
	for i := range processes {
		for j := range processes {
			if i == j {
				continue
			}
			receiver, err := net.ResolveUDPAddr("udp", m.listen[j])
			if err != nil {
				return err
			}
			// A datagram that i sends to its address for j arrives at j from j's address for i.
			m.forwarding.Go(func() { m.forward(sockets[i][j], sockets[j][i], receiver) })
		}
	}
	return nil
}

// openSocket opens a UDP socket on loopback, which close closes.
func (m *Messaging) openSocket() (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	m.sockets = append(m.sockets, socket)
	return socket, nil
}

// choosePort reserves the address of the next process by opening and closing a socket.
func (m *Messaging) choosePort() error {
	socket, err := m.openSocket()
	if err != nil {
		return err
	}
	m.listen = append(m.listen, socket.LocalAddr().String())
	return socket.Close()
}

// forward forwards the datagrams of one socket through another until the socket is closed.
func (m *Messaging) forward(from, sender *net.UDPConn, receiver *net.UDPAddr) {
	buf := make([]byte, maxDatagramSize)
	for number := int64(1); ; number++ {
		n, err := from.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		isSelected := func(each100 int64) bool { return number*each100/100 != (number-1)*each100/100 }
		if isSelected(m.lost.Load()) {
			continue
		}
		data := slices.Clone(buf[:n])
		if isSelected(m.corrupted.Load()) && n > 0 {
			data[number%int64(n)] ^= byte(number) | 1
		}
		copies := 1
		if isSelected(m.duplicated.Load()) {
			copies = 2
		}
		delay := time.Duration(number*delayMultiplier%100) * time.Duration(m.delay.Load()) / 100
		for range copies {
			m.send(sender, receiver, data, delay)
		}
	}
}

// send sends a datagram after a delay. A datagram whose sending fails is lost, as in a network.
func (m *Messaging) send(sender *net.UDPConn, receiver *net.UDPAddr, data []byte, delay time.Duration) {
	if delay <= 0 {
		_, _ = sender.WriteToUDP(data, receiver)
		return
	}
	m.delayed.Add(1)
	time.AfterFunc(delay, func() {
		defer m.delayed.Done()
		_, _ = sender.WriteToUDP(data, receiver)
	})
}

// close ends the forwarding, and waits for it and for the delayed datagrams.
func (m *Messaging) close() {
	for _, socket := range m.sockets {
		_ = socket.Close() // fails for the sockets that choosePort closed
	}
	m.forwarding.Wait()
	m.delayed.Wait()
}
