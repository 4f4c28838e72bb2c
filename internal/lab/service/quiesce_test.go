package service

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// The time limits of a drain.
const (
	maxDrainTime  = 4 * time.Second // from the start of the drain until all idle client connections are closed
	maxResumeTime = 2 * time.Second // from the end of the drain until the scheduler is healthy
)

// persistentConnection is a connection that the client keeps open until the scheduler closes it.
type persistentConnection struct {
	*connection
	closed chan struct{} // closed when the scheduler has ended the connection
}

// openPersistent connects to the scheduler. awaitClose detects the end of the connection once its jobs
// are done.
func openPersistent(t *testing.T, d *Deployment) *persistentConnection {
	t.Helper()
	c, err := dial(d.Addr(), time.Now().Add(testTimeout))
	must(t, err)
	t.Cleanup(func() { c.conn.Close() })
	return &persistentConnection{c, make(chan struct{})}
}

// awaitClose reads until the connection ends.
func (c *persistentConnection) awaitClose() {
	defer close(c.closed)
	c.conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = c.reader.ReadByte() // any error ends the connection
}

// checkServed sends a job on a connection and checks that it is answered with 200.
func checkServed(t *testing.T, client *connection, request, description string) {
	t.Helper()
	got, outcome, err := client.exchange(request, time.Now().Add(testTimeout))
	if outcome != Answered || got.Status != http.StatusOK {
		t.Errorf("%s: outcome %v, status %d (error %v), want answered with 200", description, outcome, got.Status, err)
	}
}

// mustQuiesce starts a drain and checks that the next health check on the clients' address fails.
func mustQuiesce(t *testing.T, d *Deployment) (startedAt time.Time) {
	t.Helper()
	startedAt = time.Now()
	must(t, AdminClient{d.Current.AdminAddr}.Quiesce(t.Context()))
	var status *StatusError
	if err := clientHealth(t, d); !errors.As(err, &status) {
		t.Errorf("health check after the start of the drain: error %v, want a status other than 2xx", err)
	}
	return startedAt
}

// mustResume ends a drain and checks that the scheduler is healthy in time and then serves a job.
func mustResume(t *testing.T, d *Deployment) {
	t.Helper()
	must(t, AdminClient{d.Current.AdminAddr}.Resume(t.Context()))
	await(t, "the scheduler is healthy after the drain", maxResumeTime, func() bool { return clientHealth(t, d) == nil })
	client := openPersistent(t, d)
	text := requestText("resumed/north/reading/"+client.localPort(), d.Fleet.Classes[0], "north")
	checkServed(t, client.connection, text, "job after the drain")
}

// A drain must close idle connections, whether they have carried a job or none yet, must answer the
// jobs in progress, and must not end the process.
func TestQuiesceClosesIdleConnections(t *testing.T) {
	const reused, unused, working = 10, 5, 8
	world := DefaultTopology()
	long := &world.Classes[1]
	long.ServiceTime, long.LatencyObjective, long.Deadline = 1500*time.Millisecond, 4*time.Second, 6*time.Second
	d := deploy(t, world)
	var idle []*persistentConnection
	for i := range reused {
		client := openPersistent(t, d)
		text := requestText(fmt.Sprintf("kept/north/reading/%d", i), world.Classes[0], "north")
		checkServed(t, client.connection, text, "job before the drain")
		idle = append(idle, client)
	}
	for range unused {
		idle = append(idle, openPersistent(t, d))
	}
	var work sync.WaitGroup
	for i := range working {
		client := openPersistent(t, d)
		text := requestText(fmt.Sprintf("working/north/ratify/%d", i), *long, "north")
		work.Go(func() {
			checkServed(t, client.connection, text, "job in progress at the drain")
			client.awaitClose()
		})
		idle = append(idle, client)
	}
	await(t, "the jobs run", testTimeout, func() bool { return startedJobs(d) >= reused+working })
	for _, client := range idle[:reused+unused] {
		work.Go(client.awaitClose)
	}
	startedAt := mustQuiesce(t, d)
	for i, client := range idle {
		select {
		case <-client.closed:
		case <-time.After(time.Until(startedAt.Add(maxDrainTime))):
			t.Errorf("connection %d (%d reused, %d unused, %d with a job) is still open after %v",
				i, reused, unused, working, maxDrainTime)
		}
	}
	work.Wait()
	must(t, AdminClient{d.Current.AdminAddr}.checkAlive(t.Context()))
	mustResume(t, d)
	must(t, d.Terminate(t.Context()))
}

// checkAlive returns nil if the process still answers on its admin address.
func (c AdminClient) checkAlive(ctx context.Context) error {
	_, err := c.Stats(ctx)
	return err
}

// Clients that keep sending jobs must not prolong a drain: each connection is closed within
// maxDrainTime, and each job that was read is answered.
func TestQuiesceDisconnectsBusyClients(t *testing.T) {
	const clients = 12
	d := deploy(t, DefaultTopology())
	var wait, busy sync.WaitGroup
	busy.Add(clients)
	quiesce := make(chan time.Time, clients)
	for i := range clients {
		client := openPersistent(t, d)
		wait.Go(func() {
			first := sync.OnceFunc(busy.Done)
			defer first()
			var last time.Time
			for number := 0; ; number++ {
				text := requestText(fmt.Sprintf("busy-%d/south/reading/%d", i, number), d.Fleet.Classes[0], "south")
				a, outcome, err := client.exchange(text, time.Now().Add(testTimeout))
				first()
				if outcome == Unread || client.closeAnnounced {
					break
				}
				if last = time.Now(); outcome != Answered {
					t.Errorf("client %d, job %d: outcome %v (error %v), want answered", i, number, outcome, err)
					break
				} else if a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
					t.Errorf("client %d, job %d: status %d, want 200 or 503", i, number, a.Status)
				}
			}
			if startedAt := <-quiesce; last.Sub(startedAt) > maxDrainTime {
				t.Errorf("client %d was served until %v after the start of the drain, want %v at most",
					i, last.Sub(startedAt), maxDrainTime)
			}
		})
	}
	busy.Wait()
	startedAt := mustQuiesce(t, d)
	for range clients {
		quiesce <- startedAt
	}
	wait.Wait()
	mustResume(t, d)
	must(t, d.Terminate(t.Context()))
}

// Starting a drain twice has the effect of one start, and ending it twice the effect of one end.
func TestQuiesceAndResumeTwice(t *testing.T) {
	d := deploy(t, DefaultTopology())
	mustQuiesce(t, d)
	mustQuiesce(t, d)
	mustResume(t, d)
	mustResume(t, d)
	must(t, d.Terminate(t.Context()))
}
