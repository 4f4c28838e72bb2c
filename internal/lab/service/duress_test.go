package service

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// stalledCallers is the number of clients that start a call to the admin address and never finish it.
const stalledCallers = 200

// reconnectDelay is how long a stalled caller waits before it reconnects after its connection was
// closed.
const reconnectDelay = 50 * time.Millisecond

// holdCalls starts stalledCallers unfinished calls that last until the end of the test. If reconnect
// is set, a caller whose connection is closed reconnects.
func holdCalls(t *testing.T, addr string, reconnect bool) {
	t.Helper()
	stop := make(chan struct{})
	var held, wait sync.WaitGroup
	held.Add(stalledCallers)
	for range stalledCallers {
		wait.Go(func() {
			first := sync.OnceFunc(held.Done)
			defer first()
			for {
				holdCall(t.Context(), addr, first, stop)
				if !reconnect {
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		wait.Wait()
	})
	held.Wait()
}

// holdCall starts one unfinished call, calls held, and returns when the other side closes the
// connection or stop is closed.
func holdCall(ctx context.Context, addr string, held func(), stop <-chan struct{}) {
	dialer := net.Dialer{Timeout: testTimeout}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "GET /admin/hea") // if the connection is closed already, the read below ends
	held()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c) // until the connection ends, cleanly or with an error
	}()
	select {
	case <-ended:
	case <-stop:
	}
	c.Close()
	<-ended
}

// Clients that never finish their calls must not delay others on the admin address: under load, each
// call is answered within CallTimeout, even if the stalled clients reconnect whenever their connection
// is closed.
func TestAdminCallsAnsweredBesideStalledCalls(t *testing.T) {
	for name, reconnect := range map[string]bool{"without reconnect": false, "with reconnect": true} {
		t.Run(name, func(t *testing.T) { testAnsweredBesideStalledCalls(t, reconnect) })
	}
}

// testAnsweredBesideStalledCalls checks the time of each kind of call while stalled calls are open.
func testAnsweredBesideStalledCalls(t *testing.T, reconnect bool) {
	s := startUnderLoad(t)
	holdCalls(t, s.Current.AdminAddr, reconnect)
	admin := AdminClient{s.Current.AdminAddr}
	slowest := time.Duration(0)
	checkTime := func(call string, err error, startedAt time.Time) {
		took := time.Since(startedAt)
		if slowest = max(slowest, took); err != nil || took > CallTimeout {
			t.Errorf("%s call ended with error %v after %v, want none within %v", call, err, took, CallTimeout)
		}
	}
	for range iterations(20, 100) {
		startedAt := time.Now()
		err := admin.Health(t.Context())
		checkTime("health", err, startedAt)
		startedAt = time.Now()
		_, err = admin.Stats(t.Context())
		checkTime("stats", err, startedAt)
	}
	startedAt := time.Now()
	checkTime("quiesce", admin.Quiesce(t.Context()), startedAt)
	startedAt = time.Now()
	checkTime("resume", admin.Resume(t.Context()), startedAt)
	t.Logf("slowest call took %v", slowest)
	await(t, "healthy after resume", 2*time.Second, func() bool { return clientHealth(t, s.Deployment) == nil })
	s.stopAndCheck(t, 1)
}

// clientHealth returns nil if the scheduler reports itself healthy on the clients' address.
func clientHealth(t *testing.T, d *Deployment) error {
	_, err := Fetch(t.Context(), http.MethodGet, "http://"+d.Addr()+"/_health")
	return err
}

// A call with a wrong method or path is answered with 4xx and has no effect.
func TestInvalidAdminCallsAreRejected(t *testing.T) {
	d := deploy(t, DefaultTopology())
	for _, call := range []struct{ method, path string }{
		{http.MethodGet, "/admin/quiesce"},
		{http.MethodGet, "/admin/resume"},
		{http.MethodPut, "/admin/health"},
		{http.MethodPost, "/admin/stats"},
		{http.MethodGet, "/"},
		{http.MethodGet, "/admin/healthy"},
	} {
		_, err := Fetch(t.Context(), call.method, "http://"+d.Current.AdminAddr+call.path)
		var status *StatusError
		if !errors.As(err, &status) || status.Status/100 != 4 {
			t.Errorf("%s %s: error %v, want a status 4xx", call.method, call.path, err)
		}
	}
	must(t, clientHealth(t, d))
	must(t, AdminClient{d.Current.AdminAddr}.Health(t.Context()))
}
