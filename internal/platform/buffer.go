package platform

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// A readBuffer is the read buffer of a connection. It grows to the size of the largest message. Unconsumed bytes
// are moved to its start when there is no free space after them.
type readBuffer struct {
	conn net.Conn
	data []byte
	r, w int // data[r:w] has been read from the connection and not yet consumed

	// reserveSize is called with the new size in bytes before the buffer grows and after its memory was released; it
	// returns whether the buffer may have that size. nil means any size.
	reserveSize func(size int) bool
}

const (
	initialBufferSize     = 2 << 10  // bytes
	maxRetainedBufferSize = 16 << 10 // bytes; a larger buffer is released once it is empty
)

// buffered returns the number of bytes that have been read and not yet consumed.
func (b *readBuffer) buffered() int { return b.w - b.r }

// discard drops all buffered bytes.
func (b *readBuffer) discard() { b.r, b.w = 0, 0 }

// reserve makes free space after the buffered bytes: it moves them to the start and doubles a full buffer. It returns
// errNoMemory if the buffer is full and may not grow.
func (b *readBuffer) reserve() error {
	if b.r > 0 {
		b.w = copy(b.data, b.data[b.r:b.w])
		b.r = 0
	}
	if b.w < len(b.data) {
		return nil
	}
	size := max(initialBufferSize, 2*len(b.data))
	if b.reserveSize != nil && !b.reserveSize(size) {
		return errNoMemory
	}
	larger := make([]byte, size)
	copy(larger, b.data[:b.w])
	b.data = larger
	return nil
}

// trim releases the memory of an empty buffer that is larger than its connection may retain.
func (b *readBuffer) trim() {
	retained := maxRetainedBufferSize
	if b.reserveSize != nil {
		retained = unreservedBytes
	}
	if b.buffered() > 0 || len(b.data) <= retained {
		return
	}
	b.data, b.r, b.w = nil, 0, 0
	if b.reserveSize != nil {
		b.reserveSize(0)
	}
}

// fill reads from the connection once and returns nil if bytes were added. Bytes that arrived before the read
// deadline expired are still read: the process may not have been scheduled in time.
func (b *readBuffer) fill() error {
	if b.w == len(b.data) {
		if err := b.reserve(); err != nil {
			return err
		}
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

// fillAvailable reads bytes that have already arrived, without waiting. It returns false if the other side has
// closed the connection or the read failed. It reads nothing and returns true if the connection has no descriptor, as
// in some tests, or the buffer is full and may not grow.
func (b *readBuffer) fillAvailable() bool {
	sc, ok := b.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	if b.w == len(b.data) && b.reserve() != nil {
		return true // the connection may be open; nothing can be read
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
