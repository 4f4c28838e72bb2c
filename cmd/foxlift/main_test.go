package main

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// An invalid configuration is one line that names the key, and exit code 1.
func TestInvalidConfiguration(t *testing.T) {
	for key, c := range map[string][2]string{
		"settings.grades[0].deadline": {`"deadline": 5000000000`, `"deadline": 0`},
		"known":                       {`"known": null`, `"known": {"seq": "x"}`},
		"discovery (LB_DISCOVERY)":    {`127.0.0.1:8500`, `nowhere`},
		"settings.balancers":          {`"balancers": 1`, `"balancers": 0`},
	} {
		out, err := newProcess(t, c[0], c[1]).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%s: %v, want exit code 1", key, err)
		}
		if !bytes.HasPrefix(out, []byte("foxlift: "+key+": ")) || bytes.Count(out, []byte("\n")) != 1 {
			t.Errorf("%s: %q", key, out)
		}
	}
}

// The program starts with the example's configuration, serves its health, prints its counters on request
// and at the shutdown, and exits with code 0.
func TestStartAndShutdown(t *testing.T) {
	p := newProcessWithEndpoints(t, endpoint("h", "127.0.0.1:1"))
	c := dial(t, p.startServing(t))
	// It is healthy once it has found that nobody listens at discovery's address: until then the cached
	// list may be old.
	status := 0
	for deadline := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(deadline); {
		c.mustSend(t, healthRequest)
		r, err := c.receive()
		if err != nil {
			t.Fatal(err)
		}
		status = r.status
	}
	if status != http.StatusOK {
		t.Errorf("health %d", status)
	}
	p.expectReloads(t)
	for _, s := range []os.Signal{syscall.SIGUSR1, syscall.SIGTERM} {
		p.signal(t, s)
		p.awaitLine(t, "accept.connections 1")
		p.signal(t, syscall.SIGHUP) // a reload never ends it, not even during the shutdown
	}
	p.awaitExit(t)
}

// expectReloads reloads a valid and an invalid configuration. Each writes one line.
func (p *process) expectReloads(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	for discovery, want := range map[string]string{
		"127.0.0.1:1": `"discovery": "127.0.0.1:1"`,
		"":            `reload: configuration rejected	{"name": "toy", "error": "discovery`,
	} {
		changed := bytes.Replace(text, []byte("127.0.0.1:8500"), []byte(discovery), 1)
		if err := os.WriteFile(p.config, changed, 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(t, syscall.SIGHUP)
		p.awaitLine(t, want)
	}
}
