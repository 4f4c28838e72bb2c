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
type disconnecting struct {
	wait sync.WaitGroup

	mu   sync.Mutex
	last int
}

func (d *disconnecting) next() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	return d.last
}

const (
	disconnectAtOnce      = 12                     // clients
	disconnectWithin      = 400 * time.Millisecond // of their jobs
	halfRequestsAtOnce    = 8
	disconnectingDeadline = 3 * time.Second
	connectTimeout        = time.Second
)

// jobText is a whole job.
func jobText(id, class string, remaining time.Duration) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: all\r\n"+
		"X-Remaining: %dm\r\nContent-Length: 4\r\n\r\nbody",
		class, id, class, remaining.Milliseconds())
}

// disconnectClients lets some clients send jobs and disconnect before they are answered.
func (p *run) disconnectClients(rng *rand.Rand) func() {
	for range disconnectAtOnce {
		i, class := rng.IntN(p.Schedulers), []string{"reading", "ratify"}[rng.IntN(2)]
		stays := time.Duration(rng.Int64N(int64(disconnectWithin)))
		id := fmt.Sprintf("leave/all/%s/%d-%d", class, i, p.disconnecting.next())
		p.disconnecting.wait.Go(func() {
			c, err := standin.Dial(p.f.Processes[i].Addr, connectTimeout)
			if err != nil {
				return
			}
			fmt.Fprint(c, jobText(id, class, disconnectingDeadline))
			<-time.After(stays)
			c.Close()
			p.record.disconnected(id, time.Now())
		})
	}
	return func() {}
}

// halfRequests opens connections that bring half a job and stay.
func halfRequests(p *run, rng *rand.Rand) func() {
	var open []net.Conn
	for range halfRequestsAtOnce {
		c, err := standin.Dial(p.f.Processes[rng.IntN(p.Schedulers)].Addr, connectTimeout)
		if err != nil {
			continue
		}
		text := jobText("half", "reading", disconnectingDeadline)
		fmt.Fprint(c, text[:1+rng.IntN(len(text)-1)])
		open = append(open, c)
	}
	return func() {
		for _, c := range open {
			c.Close()
		}
	}
}
