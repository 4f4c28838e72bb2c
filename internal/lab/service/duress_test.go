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

// callers is how many hold a call on the operators' address that they do not finish.
const stalledCallers = 200

// retryAfterReplace is after what time a caller comes again whose connection was closed.
const reconnectDelay = 50 * time.Millisecond

// holdCalls has them hold one until the test's end. One that is closed comes again, or stays away.
func holdCalls(t *testing.T, addr string, again bool) {
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
				if !again {
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

// holdCall begins one call, reports that it is held, and returns once the other side or stop ends it.
func holdCall(ctx context.Context, addr string, held func(), stop <-chan struct{}) {
	dialer := net.Dialer{Timeout: testTimeout}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "GET /admin/hea") // a connection that is closed already ends below
	held()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c) // until the connection's end, whatever that is
	}()
	select {
	case <-ended:
	case <-stop:
	}
	c.Close()
	<-ended
}

// Beside callers that do not finish their calls, and under load, each call has its answer in
// time: also where they come again whenever their connection is closed.
func TestAdminCallsAnsweredBesideStalledCalls(t *testing.T) {
	for name, again := range map[string]bool{"once": false, "again and again": true} {
		t.Run(name, func(t *testing.T) { testAnsweredBesideStalledCalls(t, again) })
	}
}

// testAnsweredBesideStalledCalls checks the time of each kind of call beside the stalled ones.
func testAnsweredBesideStalledCalls(t *testing.T, again bool) {
	s := startUnderLoad(t)
	holdCalls(t, s.Current.AdminAddr, again)
	operators := AdminClient{s.Current.AdminAddr}
	slowest := time.Duration(0)
	timed := func(what string, err error, began time.Time) {
		took := time.Since(began)
		if slowest = max(slowest, took); err != nil || took > CallTimeout {
			t.Errorf("%s: %v after %v", what, err, took)
		}
	}
	for range iterations(20, 100) {
		began := time.Now()
		err := operators.Health(t.Context())
		timed("health", err, began)
		began = time.Now()
		_, err = operators.Stats(t.Context())
		timed("stats", err, began)
	}
	began := time.Now()
	timed("quiesce", operators.Quiesce(t.Context()), began)
	began = time.Now()
	timed("resume", operators.Resume(t.Context()), began)
	t.Logf("the slowest answer came after %v", slowest)
	await(t, "yes", 2*time.Second, func() bool { return clientHealth(t, s.Deployment) == nil })
	s.stopAndCheck(t, 1)
}

// frontHealth returns nil if the scheduler is healthy on the clients' address.
func clientHealth(t *testing.T, d *Deployment) error {
	_, err := Fetch(t.Context(), http.MethodGet, "http://"+d.Addr()+"/_health")
	return err
}

// What is no call is answered 4xx, and changes nothing.
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
			t.Errorf("%s %s: %v", call.method, call.path, err)
		}
	}
	must(t, clientHealth(t, d))
	must(t, AdminClient{d.Current.AdminAddr}.Health(t.Context()))
}
