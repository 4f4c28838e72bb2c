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
	other := dial(t, l.Addr())
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	writeText(t, other, "late")
	await(t, "arrived", func() bool { return hasInput(conn) })
	conn.SetReadDeadline(pastDeadline)
	b := &buffer{conn: conn}
	check(t, "error", b.fill(), error(nil))
	check(t, "read", string(b.data[b.r:b.w]), "late")
	if err := b.fill(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: %v", err)
	}
}

// One buffer serves any length of message, and what is behind a message stays.
func TestBuffer(t *testing.T) {
	b := &buffer{conn: scripted{text: strings.NewReader(strings.Repeat("a", 5000) + "\n" + "b\nc")}}
	for _, want := range []string{strings.Repeat("a", 5000) + "\n", "b\n"} {
		m := b.newMessage(1 << 20)
		line, err := m.ReadString('\n')
		m.close()
		if err != nil || line != want {
			t.Errorf("%d bytes, %v; want %d", len(line), err, len(want))
		}
	}
	b.conn = scripted{text: strings.NewReader(strings.Repeat("c", 2*maxRetainedSize) + "\n")}
	large := b.newMessage(1 << 20)
	_, _ = large.ReadString('\n')
	large.close()
	check(t, "size once empty", len(b.data), 0)
	b.conn = scripted{text: strings.NewReader(strings.Repeat("e", 8*maxRetainedSize) + "\n")}
	long := b.newMessage(1 << 20)
	long.releaseEarly = true
	for err := error(nil); err == nil; _, err = long.Discard(initialBufferSize) {
	}
	if long.close(); len(b.data) > maxRetainedSize {
		t.Errorf("the buffer grew to %d with what was used", len(b.data))
	}
	b.conn = scripted{text: strings.NewReader("d")}
	m := b.newMessage(1)
	if _, err := m.ReadString('\n'); !errors.Is(err, errMessageTooLong) {
		t.Errorf("past the limit: %v", err)
	}
	m.close()
	check(t, "left", b.buffered(), 0)
}
