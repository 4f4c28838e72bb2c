package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// disconnecting numbers the clients that disconnect before their answer, and waits for them.
type disconnectingClients struct {
	wait sync.WaitGroup

	mu   sync.Mutex
	last int
}

func (d *disconnectingClients) next() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	return d.last
}

const (
	disconnectsPerFault     = 12                     // clients
	maxDisconnectDelay      = 400 * time.Millisecond // of their jobs
	partialRequestsPerFault = 8
	disconnectingDeadline   = 3 * time.Second
	connectTimeout          = time.Second
)

// jobText is a whole job.
func requestText(id, class string, remaining time.Duration) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: all\r\n"+
		"X-Remaining: %dm\r\nContent-Length: 4\r\n\r\nbody",
		class, id, class, remaining.Milliseconds())
}

// disconnectClients lets some clients send jobs and disconnect before they are answered.
func (p *run) disconnectClients(rng *rand.Rand) func() {
	for range disconnectsPerFault {
		i, class := rng.IntN(p.Schedulers), []string{"reading", "ratify"}[rng.IntN(2)]
		stays := time.Duration(rng.Int64N(int64(maxDisconnectDelay)))
		id := fmt.Sprintf("leave/all/%s/%d-%d", class, i, p.disconnecting.next())
		p.disconnecting.wait.Go(func() {
			c, err := standin.Dial(p.fleet.Processes[i].Addr, connectTimeout)
			if err != nil {
				return
			}
			fmt.Fprint(c, requestText(id, class, disconnectingDeadline))
			<-time.After(stays)
			c.Close()
			p.faultRecord.recordDisconnect(id, time.Now())
		})
	}
	return func() {}
}

// halfRequests opens connections that bring half a job and stay.
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
