package platform

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// The list of an ordinary fleet has its call's timeout and no more; a longer one is awaited for as long as it
// arrives fast enough and without a long stall.
func TestDeadlineOfArrivingResponse(t *testing.T) {
	timeout := time.Now()
	for _, tc := range []struct {
		received  int64
		now, want time.Duration // after the call's limit
	}{
		{0, -time.Second, 0},
		{bytesWithinTimeout, -time.Millisecond, 0},
		{bytesWithinTimeout, time.Second, 0},
		{bytesWithinTimeout + minBytesPerSecond/2, 0, time.Second / 2},
		{bytesWithinTimeout + minBytesPerSecond, 0, maxStall},
		{bytesWithinTimeout + minBytesPerSecond, -time.Second, 0},
		{bytesWithinTimeout + 10*minBytesPerSecond, 5 * time.Second, 5*time.Second + maxStall},
		{bytesWithinTimeout + 10*minBytesPerSecond, 9500 * time.Millisecond, 10 * time.Second},
	} {
		deadline := callDeadline{timeout: timeout}
		deadline.addReceived(int(tc.received))
		check(t, fmt.Sprintf("next() %v after the timeout, with %d bytes received", tc.now, tc.received),
			deadline.next(timeout.Add(tc.now)).Sub(timeout), tc.want)
	}
}

// A long list that goes on arriving past its call's timeout is applied; one that stops is given up.
func TestResponseIsReadPastItsTimeout(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	text := longEndpoints(7, 4000, worker, healthActive)
	for _, complete := range []bool{true, false} {
		addr, calls := newDiscovery(t)
		client := &discoveryClient{addr: addr, dialTimeout: time.Second, onReading: func(bool) {}}
		if err := client.connect(t.Context()); err != nil {
			t.Fatal(err)
		}
		const timeout = 50 * time.Millisecond
		if err := client.send(pathMembers, timeout); err != nil {
			t.Fatal(err)
		}
		call := next(t, calls)
		go func() {
			fmt.Fprintf(call.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)-1])
			if complete {
				<-time.After(2 * timeout)
				_, _ = io.WriteString(call.conn, text[len(text)-1:])
			}
		}()
		startedAt := time.Now()
		response, err := client.receive(processResponseBound())
		switch {
		case complete && (err != nil || len(response.Endpoints) != 4000):
			t.Errorf("a list of 4000 entries that came whole after its limit: %v", err)
		case !complete:
			check(t, "a list that stops", callOutcome(err), pollpacing.Unanswered)
			if took := time.Since(startedAt); took < maxStall {
				t.Errorf("given up after %v", took)
			}
		}
		client.close()
	}
}

// A list over the bound, whether its length is announced or not, is rejected and counted; the old one holds, and
// it is asked for again after delays that grow. Changes over the bound are given up for the complete list. Once
// it is within the bound it is applied.
func TestOversizedResponseIsRejected(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, set := start(t, addr, worker)
	next(t, calls).answer(endpointsJSON(7, true, worker))
	c := next(t, calls)
	checkWatch(t, "watch", c.target, 7)
	oversized := processResponseBound().bytes + 1
	for i := range 3 {
		startedAt := time.Now()
		if i == 1 {
			go func() { // it is cut off
				_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				fmt.Fprintf(c.conn, "%x\r\n%s\r\n0\r\n\r\n", oversized, strings.Repeat(" ", int(oversized)))
			}()
		} else {
			fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n{", oversized)
		}
		c = next(t, calls)
		check(t, "asked for", c.target, pathMembers)
		if delay, minDelay := time.Since(startedAt), 500*time.Millisecond<<i; delay < minDelay {
			t.Errorf("asked for again after %v, want %v", delay, minDelay)
		}
		check(t, "counted", set.Get("machines.failed"), int64(i+1))
		if _, ok := p.endpoints.findLive("n0"); !ok {
			t.Error("the old list does not hold")
		}
	}
	c.answer(longEndpoints(8, 1200, worker, healthActive))
	checkWatch(t, "followed again", next(t, calls).target, 8)
	check(t, "entries", p.endpoints.entryCount(), 1200)
}
