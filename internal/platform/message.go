package platform

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
)

var (
	// errMessageTooLong is returned if a parser reads beyond the limit of its message.
	errMessageTooLong = errors.New("message exceeds its size limit")
	// errTooManyHeaderLines is returned if a parser reads beyond maxHeaderLines lines of a head.
	errTooManyHeaderLines = errors.New("message has too many header lines")
)

// A message reads one HTTP message from a readBuffer. Its bytes stay in the buffer until close, so that the parser's
// read-ahead loses no bytes that follow the message.
type message struct {
	*bufio.Reader // for http.ReadRequest and http.ReadResponse
	buf           *readBuffer
	read          int   // bytes given to the parser, counted from buf.r
	limit         int   // maximum of read
	err           error // read error, which parsers may report as malformed input
	releaseEarly  bool  // release consumed bytes before close
	head          headScanner
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
	Header        http.Header // only the headers of responseHeaders
	ContentLength int64
	Close         bool // the server closes the connection after it
	Body          io.Reader
}

// responseHeaders are the headers of responses that are used.
var responseHeaders = []string{headerLoad, headerRejected}

// readResponse reads the head of a response. It skips informational (1xx) responses before it, except 101.
func (m *message) readResponse() (*response, error) {
	for {
		r, err := http.ReadResponse(m.Reader, nil) //nolint:bodyclose // see response
		if err != nil {
			return nil, err
		}
		if r.StatusCode >= 200 || r.StatusCode == http.StatusSwitchingProtocols {
			header := selectHeaders(r.Header, responseHeaders)
			r.Header = nil // the body refers to r
			return &response{r.StatusCode, header, r.ContentLength, r.Close, r.Body}, nil
		}
		m.head = headScanner{}
	}
}

// selectHeaders returns the headers with the given names.
func selectHeaders(all http.Header, names []string) http.Header {
	selected := http.Header{}
	for _, name := range names {
		if values := all[name]; len(values) > 0 {
			selected[name] = values
		}
	}
	return selected
}

// consumed returns the buffered bytes that the parser has consumed.
func (m *message) consumed() []byte { return m.buf.data[m.buf.r : m.buf.r+m.read-m.Buffered()] }

// releaseConsumed removes from the buffer the bytes that the parser has consumed.
func (m *message) releaseConsumed() {
	n := m.read - m.Buffered()
	m.buf.r, m.read, m.limit = m.buf.r+n, m.read-n, m.limit-n
}

// close ends the reading, removes from the buffer the bytes that the parser has consumed, and trims the buffer.
func (m *message) close() {
	m.releaseConsumed()
	m.buf.trim()
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
	if n = m.head.scan(p[:n]); n == 0 {
		m.err = errTooManyHeaderLines
		return 0, m.err
	}
	m.read += n
	return n, nil
}

// A headScanner counts the lines of a message's head as it is read. The parsed form of a line can take fifty times the
// memory of its text.
type headScanner struct {
	lines     int
	lineBytes int  // bytes of the current line, without carriage returns
	ended     bool // the empty line that ends the head was read
}

// scan counts the lines in text, which follows the text of earlier calls, and returns how many bytes of it may be given
// to the parser: those up to the line maxHeaderLines. It returns 0 if there were that many lines before.
func (h *headScanner) scan(text []byte) int {
	for i, char := range text {
		if h.ended {
			break
		}
		if h.lines == maxHeaderLines {
			return i
		}
		switch char {
		case '\n':
			h.lines++
			h.ended = h.lineBytes == 0
			h.lineBytes = 0
		case '\r':
		default:
			h.lineBytes++
		}
	}
	return len(text)
}
