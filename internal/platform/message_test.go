package platform

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a worker's head with so many headers that their parsed form takes fifty times the memory.
func TestManyHeadersOfWorker(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\r\n", maxHeaderLines) + "Content-Length: 0\r\n\r\n"
	conn := &workerConn{buf: readBuffer{conn: scriptedConn{text: strings.NewReader(text)}}}
	msg := conn.buf.newMessage(maxHeadBytes)
	_, err := msg.readResponse()
	if err == nil || !errors.Is(msg.err, errTooManyHeaderLines) {
		t.Errorf("readResponse() returned %v after %v, want an error after %v", err, msg.err, errTooManyHeaderLines)
	}
}
