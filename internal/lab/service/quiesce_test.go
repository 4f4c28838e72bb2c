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

// The rules of a drain.
const (
	maxDrainTime  = 4 * time.Second // from the drain's start until no client's connection is idle
	maxResumeTime = 2 * time.Second // from the drain's end until yes is due
)

// A persistentConnection is one that a client keeps for as long as the scheduler does.
type persistentConnection struct {
	*connection
	closed chan struct{} // when the scheduler has ended it
}

// openPersistent connects; awaitClose watches for the end once jobs have run on the connection.
func openPersistent(t *testing.T, d *Deployment) *persistentConnection {
	t.Helper()
	c, err := dial(d.Addr(), time.Now().Add(testTimeout))
	must(t, err)
	t.Cleanup(func() { c.conn.Close() })
	return &persistentConnection{c, make(chan struct{})}
}

// awaitClose reads until the connection's end.
func (c *persistentConnection) awaitClose() {
	defer close(c.closed)
	c.conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = c.reader.ReadByte() // the end, whatever it is
}

// checkServed runs a job on a connection, and checks that it is served.
func checkServed(t *testing.T, client *connection, text, what string) {
	t.Helper()
	got, outcome, err := client.exchange(text, time.Now().Add(testTimeout))
	if outcome != Answered || got.Status != http.StatusOK {
		t.Errorf("%s is %v, status %d (%v)", what, outcome, got.Status, err)
	}
}

// mustQuiesce drains a scheduler, and checks that its next health is a no.
func mustQuiesce(t *testing.T, d *Deployment) (began time.Time) {
	t.Helper()
	began = time.Now()
	must(t, AdminClient{d.Current.AdminAddr}.Quiesce(t.Context()))
	var status *StatusError
	if err := clientHealth(t, d); !errors.As(err, &status) {
		t.Errorf("after the drain's start health says %v", err)
	}
	return began
}

// mustResume ends a drain, and checks that health is a yes in time and that a job is served then.
func mustResume(t *testing.T, d *Deployment) {
	t.Helper()
	must(t, AdminClient{d.Current.AdminAddr}.Resume(t.Context()))
	await(t, "yes after the drain's end", maxResumeTime, func() bool { return clientHealth(t, d) == nil })
	client := openPersistent(t, d)
	text := requestText("resumed/north/reading/"+client.localPort(), d.Fleet.Classes[0], "north")
	checkServed(t, client.connection, text, "after the drain a job")
}

// At a drain idle connections are closed, whether they have carried a job or nothing yet, jobs in
// work are answered, and the process goes on.
func TestQuiesceClosesIdleConnections(t *testing.T) {
	const kept, silent, working = 10, 5, 8
	world := DefaultTopology()
	long := &world.Classes[1]
	long.ServiceTime, long.LatencyObjective, long.Deadline = 1500*time.Millisecond, 4*time.Second, 6*time.Second
	d := deploy(t, world)
	var idle []*persistentConnection
	for i := range kept {
		client := openPersistent(t, d)
		text := requestText(fmt.Sprintf("kept/north/reading/%d", i), world.Classes[0], "north")
		checkServed(t, client.connection, text, "before the drain a job")
		idle = append(idle, client)
	}
	for range silent {
		idle = append(idle, openPersistent(t, d))
	}
	var work sync.WaitGroup
	for i := range working {
		client := openPersistent(t, d)
		text := requestText(fmt.Sprintf("working/north/ratify/%d", i), *long, "north")
		work.Go(func() {
			checkServed(t, client.connection, text, "a job in work at the drain")
			client.awaitClose()
		})
		idle = append(idle, client)
	}
	await(t, "the jobs run", testTimeout, func() bool { return startedJobs(d) >= kept+working })
	for _, client := range idle[:kept+silent] {
		work.Go(client.awaitClose)
	}
	began := mustQuiesce(t, d)
	for i, client := range idle {
		select {
		case <-client.closed:
		case <-time.After(time.Until(began.Add(maxDrainTime))):
			t.Errorf("connection %d of %d kept, %d silent and %d working ones is open after %v",
				i, kept, silent, working, maxDrainTime)
		}
	}
	work.Wait()
	must(t, AdminClient{d.Current.AdminAddr}.checkAlive(t.Context()))
	mustResume(t, d)
	must(t, d.Terminate(t.Context()))
}

// checkAlive returns nil if the process still answers its operators.
func (o AdminClient) checkAlive(ctx context.Context) error {
	_, err := o.Stats(ctx)
	return err
}

// Clients that go on with jobs on their open connections are sent away too: each connection ends
// in time, and each job that was read has its answer.
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
					t.Errorf("client %d, job %d: %v (%v)", i, number, outcome, err)
					break
				} else if a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
					t.Errorf("client %d, job %d: status %d", i, number, a.Status)
				}
			}
			if began := <-quiesce; last.Sub(began) > maxDrainTime {
				t.Errorf("client %d was served for %v after the drain's start", i, last.Sub(began))
			}
		})
	}
	busy.Wait()
	began := mustQuiesce(t, d)
	for range clients {
		quiesce <- began
	}
	wait.Wait()
	mustResume(t, d)
	must(t, d.Terminate(t.Context()))
}

// A drain that is asked for twice is one, and so is its end.
func TestQuiesceAndResumeTwice(t *testing.T) {
	d := deploy(t, DefaultTopology())
	mustQuiesce(t, d)
	mustQuiesce(t, d)
	mustResume(t, d)
	mustResume(t, d)
	must(t, d.Terminate(t.Context()))
}
