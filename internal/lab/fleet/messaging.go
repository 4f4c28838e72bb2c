package fleet

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Talk passes the datagrams between the processes on, and can lose, double, delay and spoil
// them. To each process every other has an address of its own, its face.
type Messaging struct {
	listen []string   // where each process receives
	addresses  [][]string // by process, then by the other one; its own is nobody's

	lost, duplicated, corrupted atomic.Int64 // of each 100 datagrams
	delay                    atomic.Int64 // most, in nanoseconds

	sockets []*net.UDPConn
	wait    sync.WaitGroup
	late    sync.WaitGroup
}

// Spoil sets how many of each 100 datagrams are lost, doubled and garbled, and how late they
// come at most: each by another time, so that they overtake one another.
func (t *Messaging) Corrupt(lost, doubled, garbled int, late time.Duration) {
	t.lost.Store(int64(lost))
	t.duplicated.Store(int64(doubled))
	t.corrupted.Store(int64(garbled))
	t.delay.Store(int64(late))
}

func newMessaging(n int) (*Messaging, error) {
	t := &Messaging{}
	open := func() (*net.UDPConn, error) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err == nil {
			t.sockets = append(t.sockets, c)
		}
		return c, err
	}
	faces := make([][]*net.UDPConn, n) // faces[i][j] is what process i takes for j
	for i := range n {
		own, err := open() // keeps the port until the process takes it
		if err != nil {
			t.close()
			return nil, err
		}
		t.listen = append(t.listen, own.LocalAddr().String())
		own.Close()
		var texts []string
		for range n {
			c, err := open()
			if err != nil {
				t.close()
				return nil, err
			}
			faces[i] = append(faces[i], c)
			texts = append(texts, c.LocalAddr().String())
		}
		t.addresses = append(t.addresses, texts)
	}
	for i := range n {
		for j := range n {
			if i == j {
				continue
			}
			to, err := net.ResolveUDPAddr("udp", t.listen[j])
			if err != nil {
				t.close()
				return nil, err
			}
			// What i sends to its face of j comes to j from its face of i.
			t.wait.Go(func() { t.pass(faces[i][j], faces[j][i], to) })
		}
	}
	return t, nil
}

func (t *Messaging) pass(from, by *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 2048)
	for k := int64(1); ; k++ {
		n, err := from.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		at := func(every int64) bool { return k*every/100 != (k-1)*every/100 }
		if at(t.lost.Load()) {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if at(t.corrupted.Load()) && n > 0 {
			data[k%int64(n)] ^= byte(k) | 1
		}
		times := 1
		if at(t.duplicated.Load()) {
			times = 2
		}
		for range times {
			if late := t.delay.Load(); late > 0 {
				t.late.Add(1)
				time.AfterFunc(time.Duration(k*7919%100)*time.Duration(late)/100, func() {
					defer t.late.Done()
					by.WriteToUDP(data, to)
				})
			} else {
				by.WriteToUDP(data, to)
			}
		}
	}
}

func (t *Messaging) close() {
	for _, c := range t.sockets {
		c.Close()
	}
	t.wait.Wait()
	t.late.Wait()
}
