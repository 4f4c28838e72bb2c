package platform

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
)

// errMessageTooLong is returned if a parser reads beyond the limit of its message.
var errMessageTooLong = errors.New("message exceeds its size limit")

// A message reads one HTTP message from a readBuffer. Its bytes stay in the buffer until close, so that the parser's
// read-ahead loses no bytes that follow the message.
type message struct {
	*bufio.Reader // for http.ReadRequest and http.ReadResponse
	buf           *readBuffer
	read          int   // bytes given to the parser, counted from buf.r
	limit         int   // maximum of read
	err           error // read error, which parsers may report as malformed input
	releaseEarly  bool  // release consumed bytes before close
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// newMessage starts to read a message of at most limit bytes. The caller must close it.
func (b *readBuffer) newMessage(limit int) *message {
	m := &message{buf: b, limit: limit, Reader: readerPool.Get().(*bufio.Reader)}
	m.Reset(messageReader{m})
	return m
}

// A response is an http.Response whose body is not closed, because Close would read the body to its end even if the
// response is abandoned. The connection is closed instead.
type response struct {
	StatusCode    int
	Header        http.Header
	ContentLength int64
	Close         bool // the server closes the connection after it
	Body          io.Reader
}

// readResponse reads the head of a response. It skips informational (1xx) responses before it, except 101.
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

// consumed returns the buffered bytes that the parser has consumed.
func (m *message) consumed() []byte { return m.buf.data[m.buf.r : m.buf.r+m.read-m.Buffered()] }

// releaseConsumed removes from the buffer the bytes that the parser has consumed.
func (m *message) releaseConsumed() {
	n := m.read - m.Buffered()
	m.buf.r, m.read, m.limit = m.buf.r+n, m.read-n, m.limit-n
}

// close ends the reading and removes from the buffer the bytes that the parser has consumed. If the buffer is then
// empty and larger than maxRetainedBufferSize, its memory is released.
func (m *message) close() {
	m.releaseConsumed()
	if m.buf.buffered() == 0 && len(m.buf.data) > maxRetainedBufferSize {
		m.buf.data, m.buf.r, m.buf.w = nil, 0, 0
	}
	m.Reset(nil)
	readerPool.Put(m.Reader)
}

// A messageReader supplies the bytes of a message to its bufio.Reader.
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
