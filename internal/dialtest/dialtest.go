// Package dialtest opens client connections for tests. Only tests import it.
package dialtest

import (
	"net"
	"testing"
)

// Dial opens a connection to an address of a network, as net.Dial does. It ends the test if that fails. The connection
// is closed at the end of the test.
func Dial(t testing.TB, network, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
