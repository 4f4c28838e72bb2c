package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// disconnectingClients numbers the clients that disconnect before their answer, and waits for them.
type disconnectingClients struct {
	wait sync.WaitGroup

	mu   sync.Mutex
	last int
}

// next returns the next client's number, starting with 1.
func (d *disconnectingClients) next() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	return d.last
}

const (
	disconnectsPerFault     = 12
	maxDisconnectDelay      = 400 * time.Millisecond // from sending the job until the client disconnects
	partialRequestsPerFault = 8
	disconnectingDeadline   = 3 * time.Second // of the jobs of these clients
	connectTimeout          = time.Second
)

// requestText returns a job's complete HTTP request.
func requestText(id, class string, remaining time.Duration) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: all\r\n"+
		"X-Remaining: %dm\r\nContent-Length: 4\r\n\r\nbody",
		class, id, class, remaining.Milliseconds())
}

// disconnectClients starts clients that send a job and disconnect before it is answered.
func (p *run) disconnectClients(rng *rand.Rand) func() {
	for range disconnectsPerFault {
		i, class := rng.IntN(p.Schedulers), []string{"reading", "ratify"}[rng.IntN(2)]
		delay := time.Duration(rng.Int64N(int64(maxDisconnectDelay)))
		id := fmt.Sprintf("leave/all/%s/%d-%d", class, i, p.disconnecting.next())
		p.disconnecting.wait.Go(func() {
			c, err := standin.Dial(p.fleet.Processes[i].Addr, connectTimeout)
			if err != nil {
				return
			}
			fmt.Fprint(c, requestText(id, class, disconnectingDeadline))
			<-time.After(delay)
			c.Close()
			p.faultRecord.recordDisconnect(id, time.Now())
		})
	}
	return func() {}
}

// sendPartialRequests opens connections that send a part of a request and stay open until the fault
// ends.
func sendPartialRequests(p *run, rng *rand.Rand) func() {
	var open []net.Conn
	for range partialRequestsPerFault {
		c, err := standin.Dial(p.fleet.Processes[rng.IntN(p.Schedulers)].Addr, connectTimeout)
		if err != nil {
			continue
		}
		text := requestText("half", "reading", disconnectingDeadline)
		fmt.Fprint(c, text[:1+rng.IntN(len(text)-1)])
		open = append(open, c)
	}
	return func() {
		for _, c := range open {
			c.Close()
		}
	}
}
