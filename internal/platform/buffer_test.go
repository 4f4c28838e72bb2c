package platform

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// fill must return bytes that arrived before the read deadline expired. Otherwise a stalled process rejects a request
// that had arrived in time.
func TestReadAfterDeadline(t *testing.T) {
	l := listen(t)
	far := dial(t, l.Addr())
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	writeText(t, far, "late")
	await(t, "arrived", func() bool { return hasInput(conn) })
	conn.SetReadDeadline(pastDeadline)
	b := &readBuffer{conn: conn}
	check(t, "fill() error", b.fill(), error(nil))
	check(t, "buffered bytes", string(b.data[b.r:b.w]), "late")
	if err := b.fill(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("fill() without input returned %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// A buffer must grow to any message length and keep the bytes after a message. It must release a large buffer that is
// empty, must not grow if consumed bytes are released early, and must enforce the limit of a message.
func TestBuffer(t *testing.T) {
	b := &readBuffer{conn: scriptedConn{text: strings.NewReader(strings.Repeat("a", 5000) + "\n" + "b\nc")}}
	for _, want := range []string{strings.Repeat("a", 5000) + "\n", "b\n"} {
		m := b.newMessage(1 << 20)
		line, err := m.ReadString('\n')
		m.close()
		if err != nil || line != want {
			t.Errorf("ReadString() returned %d bytes and error %v, want %d bytes", len(line), err, len(want))
		}
	}
	b.conn = scriptedConn{text: strings.NewReader(strings.Repeat("c", 2*maxRetainedBufferSize) + "\n")}
	large := b.newMessage(1 << 20)
	_, _ = large.ReadString('\n')
	large.close()
	check(t, "size of the empty buffer", len(b.data), 0)
	b.conn = scriptedConn{text: strings.NewReader(strings.Repeat("e", 8*maxRetainedBufferSize) + "\n")}
	long := b.newMessage(1 << 20)
	long.releaseEarly = true
	for err := error(nil); err == nil; _, err = long.Discard(initialBufferSize) {
	}
	if long.close(); len(b.data) > maxRetainedBufferSize {
		t.Errorf("buffer size is %d bytes with early release, want at most %d", len(b.data), maxRetainedBufferSize)
	}
	b.conn = scriptedConn{text: strings.NewReader("d")}
	m := b.newMessage(1)
	if _, err := m.ReadString('\n'); !errors.Is(err, errMessageTooLong) {
		t.Errorf("ReadString() past the limit returned error %v, want %v", err, errMessageTooLong)
	}
	m.close()
	check(t, "buffered bytes after the message", b.buffered(), 0)
}
