package platform

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
)

var errMessageTooLong = errors.New("the message is too long")

// A message is the reading of one message from a buffer. Its bytes stay in the buffer until close, so that
// nothing behind it is lost to the parser's read-ahead.
type message struct {
	*bufio.Reader // for http.ReadRequest and http.ReadResponse
	buf           *readBuffer
	read          int   // read so far, from b.r
	limit         int   // most that may be read
	err           error // how the reading ended; parsers may report it as malformed input
	releaseEarly  bool  // what the parser has consumed need not stay until close
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// newMessage begins to read a message of at most limit bytes.
func (b *readBuffer) newMessage(limit int) *message {
	m := &message{buf: b, limit: limit, Reader: readerPool.Get().(*bufio.Reader)}
	m.Reset(messageReader{m})
	return m
}

// A response is an http.Response whose body is not closed: to close it would read it to its end, also where
// it is given up. The connection is closed instead.
type response struct {
	StatusCode    int
	Header        http.Header
	ContentLength int64
	Close         bool // the other side ends the connection
	Body          io.Reader
}

// readResponse reads the head of a response; provisional ones before it are skipped.
func (m *message) readResponse() (*response, error) {
	for {
		r, err := http.ReadResponse(m.Reader, nil) //nolint:bodyclose // see response
		if err != nil {
			return nil, err
		}
		if r.StatusCode >= 200 || r.StatusCode == http.StatusSwitchingProtocols {
			return &response{r.StatusCode, r.Header, r.ContentLength, r.Close, r.Body}, nil
		}
	}
}

// consumed is what the parser has consumed of the buffer.
func (m *message) consumed() []byte { return m.buf.data[m.buf.r : m.buf.r+m.read-m.Buffered()] }

// releaseConsumed gives back what the parser has consumed of the buffer.
func (m *message) releaseConsumed() {
	n := m.read - m.Buffered()
	m.buf.r, m.read, m.limit = m.buf.r+n, m.read-n, m.limit-n
}

// close ends the reading, and gives back what the parser has consumed of the buffer.
func (m *message) close() {
	m.releaseConsumed()
	if m.buf.buffered() == 0 && len(m.buf.data) > maxRetainedBufferSize {
		m.buf.data, m.buf.r, m.buf.w = nil, 0, 0
	}
	m.Reset(nil)
	readerPool.Put(m.Reader)
}

// A messageReader hands a message's bytes to the parser.
type messageReader struct{ msg *message }

// Read implements io.Reader.
func (r messageReader) Read(p []byte) (int, error) {
	m := r.msg
	if m.read >= m.limit {
		m.err = errMessageTooLong
		return 0, m.err
	}
	for m.buf.buffered() == m.read {
		if m.releaseEarly {
			m.releaseConsumed()
		}
		if m.err = m.buf.fill(); m.err != nil {
			return 0, m.err
		}
	}
	n := copy(p[:min(len(p), m.limit-m.read)], m.buf.data[m.buf.r+m.read:m.buf.w])
	m.read += n
	return n, nil
}
