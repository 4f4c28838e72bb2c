package fleet

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addresses counts the addresses that were given out.
var addresses atomic.Int64

// freeAddr finds an address on loopback that nothing uses: each call has an IP address of its own, so
// that no outgoing connection and no other fleet takes its port while nobody listens there.
func freeAddr() (string, error) {
	n := addresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.7%d.%d.%d:0", os.Getpid()%10, n/250%250, n%250+1))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
