package platform

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// What had arrived before a deadline is read after it.
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
	check(t, "error", b.fill(), error(nil))
	check(t, "read", string(b.data[b.r:b.w]), "late")
	if err := b.fill(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: %v", err)
	}
}

// One buffer serves any length of message, and what is behind a message stays.
func TestBuffer(t *testing.T) {
	b := &readBuffer{conn: scriptedConn{text: strings.NewReader(strings.Repeat("a", 5000) + "\n" + "b\nc")}}
	for _, want := range []string{strings.Repeat("a", 5000) + "\n", "b\n"} {
		m := b.newMessage(1 << 20)
		line, err := m.ReadString('\n')
		m.close()
		if err != nil || line != want {
			t.Errorf("%d bytes, %v; want %d", len(line), err, len(want))
		}
	}
	b.conn = scriptedConn{text: strings.NewReader(strings.Repeat("c", 2*maxRetainedBufferSize) + "\n")}
	large := b.newMessage(1 << 20)
	_, _ = large.ReadString('\n')
	large.close()
	check(t, "size once empty", len(b.data), 0)
	b.conn = scriptedConn{text: strings.NewReader(strings.Repeat("e", 8*maxRetainedBufferSize) + "\n")}
	long := b.newMessage(1 << 20)
	long.releaseEarly = true
	for err := error(nil); err == nil; _, err = long.Discard(initialBufferSize) {
	}
	if long.close(); len(b.data) > maxRetainedBufferSize {
		t.Errorf("the buffer grew to %d with what was used", len(b.data))
	}
	b.conn = scriptedConn{text: strings.NewReader("d")}
	m := b.newMessage(1)
	if _, err := m.ReadString('\n'); !errors.Is(err, errMessageTooLong) {
		t.Errorf("past the limit: %v", err)
	}
	m.close()
	check(t, "left", b.buffered(), 0)
}
