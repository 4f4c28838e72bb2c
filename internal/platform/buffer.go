package platform

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// A buffer is the one read buffer of a connection. It grows as a message needs, and what is left is moved to
// its front when the space behind it runs out.
type readBuffer struct {
	conn net.Conn
	data []byte
	r, w int // data[r:w] is read from the connection and not yet consumed
}

const (
	initialBufferSize     = 2 << 10
	maxRetainedBufferSize = 16 << 10 // a larger buffer is given back once it is empty
)

func (b *readBuffer) buffered() int { return b.w - b.r }

// discard forgets what is buffered.
func (b *readBuffer) discard() { b.r, b.w = 0, 0 }

// reserve makes space behind what is buffered.
func (b *readBuffer) reserve() {
	if b.r > 0 {
		b.w = copy(b.data, b.data[b.r:b.w])
		b.r = 0
	}
	if b.w == len(b.data) {
		larger := make([]byte, max(initialBufferSize, 2*len(b.data)))
		copy(larger, b.data[:b.w])
		b.data = larger
	}
}

// fill reads from the connection once. A deadline that has passed does not hide what had arrived: the process
// may only have had no time to read it.
func (b *readBuffer) fill() error {
	if b.w == len(b.data) {
		b.reserve()
	}
	before := b.buffered()
	n, err := b.conn.Read(b.data[b.w:])
	b.w += n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.fillAvailable()
	}
	if b.buffered() > before {
		return nil // the next read returns the error again
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// fillAvailable reads what has already arrived, without waiting. It returns false if the other side has ended
// the connection.
func (b *readBuffer) fillAvailable() bool {
	sc, ok := b.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	if b.w == len(b.data) {
		b.reserve()
	}
	open := true
	err = raw.Control(func(fd uintptr) {
		n, err := syscall.Read(int(fd), b.data[b.w:])
		switch {
		case n > 0:
			b.w += n
		case isRetryable(err):
		default:
			open = false
		}
	})
	return open && err == nil
}
