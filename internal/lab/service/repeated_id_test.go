package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	repeatClients    = 12
	repeatUpgrades   = 3
	maxLeaveAfter    = 4                       // milliseconds between a request and the close of its connection
	repeatPause      = 15 * time.Millisecond   // between the close and the second request: 0 to 3 of these
	repeatPauses     = 4                       // number of different pauses
	repeatAnswerTime = 1500 * time.Millisecond // more than the deadline of ratifyRequest
)

// ratifyRequest returns a request for an at-most-once job.
func ratifyRequest(id string) string {
	return strings.Replace(jobRequest(id, "north", "", "x"), "reading", "ratify", 2)
}

// A repeater sends each id twice: it leaves the first request's connection, unread, and sends the second request on a
// new connection, at once or a moment later. It counts the answers to second requests by status.
type repeater struct {
	addr    string
	answers [600]atomic.Int64
	lost    atomic.Int64 // second requests without an answer
}

// run sends ids until stop reports true.
func (r *repeater) run(t *testing.T, client int, stop func() bool) {
	for k := 0; !stop(); k++ {
		id := fmt.Sprintf("repeat/ratify/%d-%d", client, k)
		if !r.leave(t, id, time.Duration(k%(maxLeaveAfter+1))*time.Millisecond) {
			continue
		}
		<-time.After(time.Duration(k%repeatPauses) * repeatPause)
		if status := r.send(t, id); status > 0 {
			r.answers[status].Add(1)
		} else {
			r.lost.Add(1)
		}
	}
}

// leave sends a request, and closes the connection after a while. It returns false if it could not connect.
func (r *repeater) leave(t *testing.T, id string, after time.Duration) bool {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	_, err = io.WriteString(conn, ratifyRequest(id))
	<-time.After(after)
	return err == nil
}

// send sends a request and returns the status of its answer; 0 if there is none.
func (r *repeater) send(t *testing.T, id string) int {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.addr)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(repeatAnswerTime))
	_, _ = io.WriteString(conn, ratifyRequest(id)) // the read below tells of a failure
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Guards against an at-most-once job that runs twice because its client left and sent the id again at once, to the same
// process or to the other one of an upgrade.
func TestSameIDAgainDuringUpgrades(t *testing.T) {
	d := deploy(t, DefaultTopology())
	var stopping atomic.Bool
	var clients sync.WaitGroup
	r := &repeater{addr: d.Addr()}
	for i := range repeatClients {
		clients.Go(func() { r.run(t, i, stopping.Load) })
	}
	for range repeatUpgrades {
		_, err := d.Upgrade(t.Context())
		must(t, err)
	}
	stopping.Store(true)
	clients.Wait()
	served := r.answers[http.StatusOK].Load()
	t.Logf("second requests: %d served, %d rejected for their id, %d shed, %d without an answer",
		served, r.answers[http.StatusBadRequest].Load()+r.answers[http.StatusConflict].Load(),
		r.answers[http.StatusServiceUnavailable].Load(), r.lost.Load())
	if ids := d.Fleet.DuplicateJobs(); len(ids) > 0 {
		t.Errorf("%d at-most-once jobs ran more than once, want none; the first is %s", len(ids), ids[0])
	}
	if served == 0 {
		t.Error("no second request was served, want some whose first one was never read")
	}
	must(t, d.Terminate(t.Context()))
}
