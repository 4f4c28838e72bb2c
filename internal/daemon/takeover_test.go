package daemon

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// An adminFixture is a fixture whose scheduler has an operators' address, so that another process can
// take over from it.
type adminFixture struct {
	*fixture
	listen, directory string
}

// freeAddress returns an address on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startAdminFixture starts a fixture, and a scheduler with an operators' address in place of its own.
func startAdminFixture(t *testing.T) (*adminFixture, *Daemon) {
	t.Helper()
	f := startFixture(t, "(foxlift (control (socket %q)))")
	f.Kill()
	a := &adminFixture{f, freeAddress(t), t.TempDir()}
	predecessor := a.startProcess(t)
	a.await(t, "the predecessor is ready", predecessor.Ready)
	return a, predecessor
}

// variables returns the environment of a process with an operators' address.
func (a *adminFixture) variables(admin string) map[string]string {
	return map[string]string{
		"LB_CONFIG": a.config,
		"LB_LISTEN": a.listen,
		"LB_ADMIN":  admin,
		"TMPDIR":    a.directory,
	}
}

// startProcess starts a further process of the same scheduler.
func (a *adminFixture) startProcess(t *testing.T) *Daemon {
	t.Helper()
	return a.mustStart(t, a.variables("127.0.0.1:0"))
}

// health returns the status of the answer of a health endpoint.
func health(t *testing.T, url string) int {
	t.Helper()
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// A successor takes over: it is ready within the time that the platform allows, the clients' health is
// 200 throughout, the predecessor shuts down at once, and the successor serves the control socket then.
func TestTakeover(t *testing.T) {
	a, predecessor := startAdminFixture(t)
	if got := health(t, predecessor.AdminAddr().String()+"/admin/health"); got != http.StatusOK {
		t.Errorf("the predecessor's health: %d", got)
	}
	successor := a.startProcess(t)
	a.await(t, "the successor is ready", successor.Ready)
	if successor.Counters.Get("upgrades.without_state") != 0 {
		t.Error("no state was restored")
	}
	a.await(t, "the predecessor yields its connections", func() bool {
		return predecessor.platform.Ready() && predecessor.takeover.lock.SuccessorListening()
	})
	if got := health(t, a.listen+"/_health"); got != http.StatusOK {
		t.Errorf("the clients' health beside two processes: %d", got)
	}
	predecessor.ShutDown()
	if got := health(t, a.listen+"/_health"); got != http.StatusOK {
		t.Errorf("the clients' health after the predecessor's shutdown: %d", got)
	}
	a.await(t, "the successor is promoted", func() bool { return !successor.takeover.lock.IsSuccessor() })
	a.await(t, "the control socket is served", func() bool { return successor.servers.control.Load() != nil })
}

// A successor that is shut down before it serves leaves the predecessor as it was.
func TestSuccessorStopsBeforeServing(t *testing.T) {
	a, predecessor := startAdminFixture(t)
	a.stopDiscovery() // the successor waits for an answer
	successor := a.startProcess(t)
	if successor.Ready() {
		t.Error("it is ready without an answer from discovery")
	}
	successor.ShutDown()
	a.await(t, "the predecessor is alone", func() bool { return !predecessor.takeover.lock.HasSuccessor() })
	if got := health(t, a.listen+"/_health"); got != http.StatusOK {
		t.Errorf("the clients' health: %d", got)
	}
}

// A process whose operators' address is in use fails in one line that names the key, and so does a third
// process.
func TestThirdProcessFails(t *testing.T) {
	a, predecessor := startAdminFixture(t)
	_, err := a.start(t, a.variables(predecessor.AdminAddr().String()))
	if err == nil || !strings.Contains(err.Error(), "LB_ADMIN") {
		t.Errorf("error %v, want one that names LB_ADMIN", err)
	}
	successor := a.startProcess(t)
	a.await(t, "the successor is ready", successor.Ready)
	startedAt := time.Now()
	_, err = a.start(t, a.variables("127.0.0.1:0"))
	took := time.Since(startedAt)
	if err == nil || !strings.Contains(err.Error(), "LB_LISTEN") || took < acquireTimeout {
		t.Errorf("error %v after %v, want one that names LB_LISTEN after %v", err, took, acquireTimeout)
	}
}
