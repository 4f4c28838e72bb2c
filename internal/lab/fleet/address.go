package fleet

import (
	"fmt"
	"os"
	"sync/atomic"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// addressCount counts the addresses that freeAddr has returned.
var addressCount atomic.Int64

// addressesPerSubnet is how many addresses of one /24 subnet freeAddr uses.
const addressesPerSubnet = 250

// freeAddr returns a free address on loopback. Each call uses a different IP address, so that no
// outgoing connection and no other fleet takes the port while nothing listens there.
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
