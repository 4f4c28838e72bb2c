package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// leavers numbers the submitters that leave, and waits for them.
type disconnecting struct {
	mu   sync.Mutex
	last int
	wait sync.WaitGroup
}

func (l *disconnecting) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	return l.last
}

const (
	disconnectAtOnce      = 12                     // submitters
	disconnectWithin      = 400 * time.Millisecond // of their jobs
	halfRequestsAtOnce    = 8
	disconnectingDeadline = 3 * time.Second
	connectTimeout        = time.Second
)

// jobText is a whole job.
func jobText(id, class string, waits time.Duration) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: all\r\nX-Remaining: %dm\r\nContent-Length: 4\r\n\r\nbody",
		class, id, class, waits.Milliseconds())
}

// leave lets some submitters send jobs and leave before they are answered.
func (p *run) disconnectClients(rng *rand.Rand) func() {
	for range disconnectAtOnce {
		i, class := rng.IntN(p.Schedulers), []string{"reading", "ratify"}[rng.IntN(2)]
		stays := time.Duration(rng.Int64N(int64(disconnectWithin)))
		id := fmt.Sprintf("leave/all/%s/%d-%d", class, i, p.disconnecting.next())
		p.disconnecting.wait.Go(func() {
			c, err := net.DialTimeout("tcp", p.f.Processes[i].Addr, connectTimeout)
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
		c, err := net.DialTimeout("tcp", p.f.Processes[rng.IntN(p.Schedulers)].Addr, connectTimeout)
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
