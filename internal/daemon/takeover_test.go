package daemon

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// An adminFixture is a fixture whose scheduler has an operators' address, so that another process can
// take over from it.
type adminFixture struct {
	*fixture
	listen, directory string
}

// freeAddress returns an address on which no process listens.
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

// startAdminFixture starts a fixture and replaces its scheduler by one with an operators' address. It returns
// that scheduler as the predecessor.
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

// startProcess starts another process of the same scheduler, with an operators' address of its own.
func (a *adminFixture) startProcess(t *testing.T) *Daemon {
	t.Helper()
	return a.mustStart(t, a.variables("127.0.0.1:0"))
}

// health returns the status of the response of a health endpoint.
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

// A successor takes over: it becomes ready and restores the predecessor's state, the clients' health endpoint
// returns 200 throughout, and after the predecessor has shut down the successor serves the control socket.
func TestTakeover(t *testing.T) {
	a, predecessor := startAdminFixture(t)
	if got := health(t, predecessor.AdminAddr().String()+"/admin/health"); got != http.StatusOK {
		t.Errorf("health of the predecessor at the operators' address = %d, want %d", got, http.StatusOK)
	}
	successor := a.startProcess(t)
	a.await(t, "the successor is ready", successor.Ready)
	if successor.Counters.Get("upgrades.without_state") != 0 {
		t.Error("counter upgrades.without_state is not 0: the predecessor's state was not restored")
	}
	a.await(t, "the predecessor yields its connections", func() bool {
		return predecessor.platform.Ready() && predecessor.takeover.lock.SuccessorListening()
	})
	if got := health(t, a.listen+"/_health"); got != http.StatusOK {
		t.Errorf("clients' health while both processes run = %d, want %d", got, http.StatusOK)
	}
	predecessor.ShutDown()
	if got := health(t, a.listen+"/_health"); got != http.StatusOK {
		t.Errorf("clients' health after the shutdown of the predecessor = %d, want %d", got, http.StatusOK)
	}
	a.await(t, "the successor is promoted", func() bool { return !successor.takeover.lock.IsSuccessor() })
	a.await(t, "the control socket is served", func() bool { return successor.servers.control.Load() != nil })
}

// A successor that is shut down before it serves does not affect the predecessor.
func TestSuccessorStopsBeforeServing(t *testing.T) {
	a, predecessor := startAdminFixture(t)
	a.stopDiscovery() // the successor waits for a response of discovery
	successor := a.startProcess(t)
	if successor.Ready() {
		t.Error("Ready() of the successor = true before discovery has responded, want false")
	}
	successor.ShutDown()
	a.await(t, "the predecessor has no successor", func() bool { return !predecessor.takeover.lock.HasSuccessor() })
	if got := health(t, a.listen+"/_health"); got != http.StatusOK {
		t.Errorf("clients' health after the shutdown of the successor = %d, want %d", got, http.StatusOK)
	}
}

// Start fails with an error that names LB_ADMIN if the operators' address is in use, and with an error that
// names LB_LISTEN if two other processes of the scheduler run already.
func TestThirdProcessFails(t *testing.T) {
	a, predecessor := startAdminFixture(t)
	_, err := a.start(t, a.variables(predecessor.AdminAddr().String()))
	if err == nil || !strings.Contains(err.Error(), "LB_ADMIN") {
		t.Errorf("Start() with an operators' address in use: error %v, want one that names LB_ADMIN", err)
	}
	successor := a.startProcess(t)
	a.await(t, "the successor is ready", successor.Ready)
	startedAt := time.Now()
	_, err = a.start(t, a.variables("127.0.0.1:0"))
	took := time.Since(startedAt)
	if err == nil || !strings.Contains(err.Error(), "LB_LISTEN") || took < acquireTimeout {
		t.Errorf("Start() of a third process: error %v after %v, want one that names LB_LISTEN after at least %v",
			err, took, acquireTimeout)
	}
}

// Guards against a successor that starts while discovery is down and sends jobs to a worker whose drain the predecessor
// was notified of: it uses the predecessor's list, not the older one of its configuration.
func TestSuccessorUsesThePredecessorsEndpoints(t *testing.T) {
	a, predecessor := startAdminFixture(t)
	draining := a.workers[1:]
	before, _ := predecessor.platform.EndpointsVersion()
	for _, worker := range draining {
		a.discovery.Put(worker, standin.Leaving)
	}
	a.await(t, "the predecessor is notified of the drains", func() bool {
		version, confirmed := predecessor.platform.EndpointsVersion()
		return confirmed && version >= before+int64(len(draining))
	})
	a.stopDiscovery()
	successor := a.startProcess(t)
	a.await(t, "the successor is ready", successor.Ready)
	predecessor.ShutDown()
	a.Daemon = successor
	requests := func() (sum int64) {
		for _, worker := range draining {
			sum += worker.Requests()
		}
		return sum
	}
	requestsBefore := requests()
	client := a.client("islands", "reading", "c")
	served := 0
	a.await(t, "jobs are served", func() bool {
		if client.Send() == http.StatusOK {
			served++
		}
		return served == 50
	})
	if got := requests() - requestsBefore; got != 0 {
		t.Errorf("draining workers got %d requests for %d jobs, want 0", got, served)
	}
}

// Guards against a successor that polls the address in its environment although a reload has moved its predecessor to
// the one that the configuration file names. Nobody listens at the old address, so that the successor would never be
// notified of a drain, and would take its list for the current one for any time.
func TestSuccessorPollsTheReloadedDiscovery(t *testing.T) {
	a, first := startAdminFixture(t)
	first.Kill()
	oldAddress := a.discovery.Addr().String()
	variables := a.variables("127.0.0.1:0")
	variables["LB_DISCOVERY"] = oldAddress
	predecessor := a.mustStart(t, variables)
	a.await(t, "the predecessor is ready", predecessor.Ready)
	a.moveDiscovery(t)
	if err := predecessor.Reload(t.Context()); err != nil {
		t.Fatal(err)
	}
	a.await(t, "the new discovery has answered the predecessor", func() bool {
		_, confirmed := predecessor.platform.EndpointsVersion()
		return confirmed
	})
	successor := a.mustStart(t, variables)
	a.await(t, "the successor is ready", successor.Ready)
	predecessor.ShutDown()
	if got, want := successor.platform.Discovery(), a.discovery.Addr().String(); got != want {
		t.Errorf("the successor polls %s, want %s", got, want)
	}
	version := int64(a.discovery.Version())
	a.discovery.Put(a.workers[0], standin.Leaving)
	a.await(t, "the successor is notified of a drain", func() bool {
		got, confirmed := successor.platform.EndpointsVersion()
		return confirmed && got > version
	})
}

// moveDiscovery replaces the discovery stand-in by one at another address, which the configuration file names.
func (a *adminFixture) moveDiscovery(t *testing.T) {
	t.Helper()
	a.stopDiscovery()
	var err error
	if a.discovery, err = standin.StartDiscovery(a.workers...); err != nil {
		t.Fatal(err)
	}
	a.writeConfig(t)
}

// Jobs that must not run twice wait at the successor until it knows the predecessor's ids, and are served then.
func TestSuccessorAwaitsThePredecessorsIDs(t *testing.T) {
	a, _ := startAdminFixture(t)
	successor := a.startProcess(t)
	a.await(t, "the successor is ready", successor.Ready)
	a.Daemon = successor
	client := a.client("islands", "ratify", "c")
	if status := client.Send(); status != http.StatusOK {
		t.Errorf("status of a job in the takeover = %d, want %d", status, http.StatusOK)
	}
	if held := successor.Counters.Get("jobs.held"); held != 1 {
		t.Errorf("counter jobs.held of the successor = %d, want 1", held)
	}
}
