package platform

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// Guards against cancelling the call for a long list while the list arrives. The list of an ordinary fleet gets no time
// past the timeout of its call. A longer list is awaited as long as it arrives fast enough and without a long stall.
func TestDeadlineOfArrivingResponse(t *testing.T) {
	timeout := time.Now()
	for _, tc := range []struct {
		received  int64
		now, want time.Duration // relative to the call's timeout
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

// Guards against dropping a long list that is still arriving at the timeout of its call, and against waiting without
// end for one that stops arriving.
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
			t.Errorf("receive() of a list of 4000 entries that was complete after its timeout: %v", err)
		case !complete:
			check(t, "outcome of a call whose list stops arriving", callOutcome(err), pollpacing.Unanswered)
			if took := time.Since(startedAt); took < maxStall {
				t.Errorf("receive() failed after %v, want at least %v", took, maxStall)
			}
		}
		client.close()
	}
}

// Guards against an endpoint list that uses up the memory. A list over the bound is rejected and counted, whether its
// length is announced or not; the old list stays in force, and calls are repeated after growing delays. If the changes
// since a version are over the bound, the complete list is requested. A list within the bound is applied again.
func TestOversizedResponseIsRejected(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, set := start(t, addr, worker)
	next(t, calls).answer(endpointsJSON(7, true, worker))
	c := next(t, calls)
	checkWatch(t, "first watch after the list", c.target, 7)
	oversized := processResponseBound().bytes + 1
	for i := range 3 {
		startedAt := time.Now()
		if i == 1 {
			go func() { // the scheduler stops reading before the body ends
				_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				fmt.Fprintf(c.conn, "%x\r\n%s\r\n0\r\n\r\n", oversized, strings.Repeat(" ", int(oversized)))
			}()
		} else {
			fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n{", oversized)
		}
		c = next(t, calls)
		check(t, "target of the next call", c.target, pathMembers)
		if delay, minDelay := time.Since(startedAt), 500*time.Millisecond<<i; delay < minDelay {
			t.Errorf("call repeated after %v, want at least %v", delay, minDelay)
		}
		check(t, "counter machines.failed", set.Get("machines.failed"), int64(i+1))
		if _, ok := p.endpoints.findLive("n0"); !ok {
			t.Error("findLive(n0) = false after an oversized list, want true by the old list")
		}
	}
	c.answer(longEndpoints(8, 1200, worker, healthActive))
	checkWatch(t, "watch after a list within the bound", next(t, calls).target, 8)
	check(t, "entries in the table", p.endpoints.entryCount(), 1200)
}
