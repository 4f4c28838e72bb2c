package fleet

import (
	"fmt"
	"os"
	"sync/atomic"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// addresses counts the addresses that were given out.
var addressCount atomic.Int64

// addressesInSubnet is how many addresses of one subnet are given out.
const addressesPerSubnet = 250

// freeAddr finds an address on loopback that nothing uses: each call has an IP address of its own, so
// that no outgoing connection and no other fleet takes its port while nobody listens there.
func freeAddr() (string, error) {
	n := addressCount.Add(1)
	subnet, host := n/addressesPerSubnet%addressesPerSubnet, n%addressesPerSubnet+1
	l, err := standin.ListenOn(fmt.Sprintf("127.7%d.%d.%d:0", os.Getpid()%10, subnet, host))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
