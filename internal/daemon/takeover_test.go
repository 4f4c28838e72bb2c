package daemon

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// served is a world's scheduler with an operators' address, and what another process of it needs.
type adminFixture struct {
	*fixture
	listen, directory string
}

// freeAddress returns an address on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startAdminFixture starts a world's scheduler anew, with an operators' address.
func startAdminFixture(t *testing.T) (*adminFixture, *Daemon) {
	t.Helper()
	w := startFixture(t, "(foxlift (control (socket %q)))")
	w.Kill()
	s := &adminFixture{w, freeAddress(t), t.TempDir()}
	return s, s.startProcess(t)
}

// next starts another process's part of the same scheduler.
func (s *adminFixture) startProcess(t *testing.T) *Daemon {
	t.Helper()
	variables := map[string]string{"LB_CONFIG": s.config, "LB_LISTEN": s.listen, "LB_ADMIN": "127.0.0.1:0", "TMPDIR": s.directory}
	d, err := Start(Options{Getenv: func(name string) string { return variables[name] }, Operator: s.operator, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

func health(t *testing.T, address string) int {
	t.Helper()
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	return r.StatusCode
}

// A second process takes over: it says yes within the time that is due, the clients' health is yes
// throughout, the older one ends at once, and the control socket is the newer one's then.
func TestTakeover(t *testing.T) {
	s, older := startAdminFixture(t)
	s.await(t, "the older one is ready", older.Ready)
	if got := health(t, older.AdminAddr().String()+"/admin/health"); got != http.StatusOK {
		t.Errorf("the older one's health: %d", got)
	}
	newer := s.startProcess(t)
	s.await(t, "the newer one is ready", newer.Ready)
	if newer.Counters.Get("upgrades.without_state") != 0 {
		t.Error("nothing was handed over")
	}
	s.await(t, "the older one sends clients away", func() bool { return older.platform.Ready() && older.takeoverLock.SuccessorListening() })
	if got := health(t, s.listen+"/_health"); got != http.StatusOK {
		t.Errorf("the clients' health beside two processes: %d", got)
	}
	older.ShutDown()
	if got := health(t, s.listen+"/_health"); got != http.StatusOK {
		t.Errorf("the clients' health after the older one's end: %d", got)
	}
	s.await(t, "the newer one has the place", func() bool { return !newer.takeoverLock.IsSuccessor() })
	s.await(t, "the control socket is its", func() bool { return newer.control.Load() != nil })
}

// A process that ends before it serves leaves the older one as it was.
func TestSuccessorStopsBeforeServing(t *testing.T) {
	s, older := startAdminFixture(t)
	s.await(t, "the older one is ready", older.Ready)
	s.discovery.Close() // the newer one waits for an answer
	s.discovery.Reset()
	newer := s.startProcess(t)
	if newer.Ready() {
		t.Error("it is ready without an answer from discovery")
	}
	newer.ShutDown()
	s.await(t, "the older one is alone", func() bool { return !older.takeoverLock.HasSuccessor() })
	if got := health(t, s.listen+"/_health"); got != http.StatusOK {
		t.Errorf("the clients' health: %d", got)
	}
}

// A third process is refused in one line that names the key; one whose operators' address is taken,
// too.
func TestThirdProcessFails(t *testing.T) {
	s, older := startAdminFixture(t)
	s.await(t, "the older one is ready", older.Ready)
	variables := map[string]string{"LB_CONFIG": s.config, "LB_LISTEN": s.listen, "LB_ADMIN": older.AdminAddr().String(), "TMPDIR": s.directory}
	_, err := Start(Options{Getenv: func(name string) string { return variables[name] }, Operator: s.operator, Log: zap.NewNop()})
	if err == nil || !strings.Contains(err.Error(), "LB_ADMIN") {
		t.Errorf("error %v, want one that names LB_ADMIN", err)
	}
	newer := s.startProcess(t)
	s.await(t, "the newer one is ready", newer.Ready)
	began := time.Now()
	variables["LB_ADMIN"] = "127.0.0.1:0"
	_, err = Start(Options{Getenv: func(name string) string { return variables[name] }, Operator: s.operator, Log: zap.NewNop()})
	if err == nil || !strings.Contains(err.Error(), "LB_LISTEN") || time.Since(began) < acquireTimeout {
		t.Errorf("error %v after %v, want one that names LB_LISTEN after %v", err, time.Since(began), acquireTimeout)
	}
}
