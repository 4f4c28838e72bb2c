package platform

import (
	"bufio"
	"errors"
	"net/http"
	"sync"
)

var errMessageTooLong = errors.New("the message is too long")

// A message is the reading of one message from a buffer. Its bytes stay in the
// buffer until end, so that nothing behind it is lost to the parser's read-ahead.
type message struct {
	*bufio.Reader // for http.ReadRequest and http.ReadResponse
	b             *buffer
	read          int   // read so far, from b.r
	limit         int   // most that may be read
	err           error // how the reading ended; parsers may word it as bad input
	releaseEarly  bool  // what the parser has used need not stay until end
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

func (b *buffer) newMessage(limit int) *message {
	m := &message{b: b, limit: limit, Reader: readerPool.Get().(*bufio.Reader)}
	m.Reset(messageReader{m})
	return m
}

// response reads the head of a response; provisional ones before it say nothing.
func (m *message) readResponse() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(m.Reader, nil)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// used is what the parser has used of the buffer.
func (m *message) consumed() []byte { return m.b.data[m.b.r : m.b.r+m.read-m.Buffered()] }

// releaseConsumed gives back what the parser has used of the buffer.
func (m *message) releaseConsumed() {
	n := m.read - m.Buffered()
	m.b.r, m.read, m.limit = m.b.r+n, m.read-n, m.limit-n
}

// end drops what the parser has used of the buffer.
func (m *message) close() {
	m.releaseConsumed()
	if m.b.buffered() == 0 && len(m.b.data) > maxRetainedSize {
		m.b.data, m.b.r, m.b.w = nil, 0, 0
	}
	m.Reset(nil)
	readerPool.Put(m.Reader)
}

// unread hands a message's bytes to the parser.
type messageReader struct{ msg *message }

func (u messageReader) Read(p []byte) (int, error) {
	m := u.msg
	if m.read >= m.limit {
		m.err = errMessageTooLong
		return 0, m.err
	}
	for m.b.buffered() == m.read {
		if m.releaseEarly {
			m.releaseConsumed()
		}
		if m.err = m.b.fill(); m.err != nil {
			return 0, m.err
		}
	}
	n := copy(p[:min(len(p), m.limit-m.read)], m.b.data[m.b.r+m.read:m.b.w])
	m.read += n
	return n, nil
}
