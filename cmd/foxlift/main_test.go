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

// With an invalid configuration the program prints one line that names the key, and exits with code 1.
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
			t.Errorf("output %q, want one line that begins with \"foxlift: %s: \"", out, key)
		}
	}
}

// The program starts with the example configuration, becomes healthy, prints its counters at SIGUSR1 and at the
// shutdown, and exits with code 0.
func TestStartAndShutdown(t *testing.T) {
	program := newProcessWithEndpoints(t, endpoint("h", "127.0.0.1:1"))
	c := dial(t, program.startServing(t))
	// The program becomes healthy once a connection to discovery's address has been refused: until then the
	// cached endpoint list may be out of date.
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
		t.Errorf("health = %d, want %d", status, http.StatusOK)
	}
	program.expectReloads(t)
	for _, s := range []os.Signal{syscall.SIGUSR1, syscall.SIGTERM} {
		program.signal(t, s)
		program.awaitLine(t, "accept.connections 1")
		program.signal(t, syscall.SIGHUP) // a reload does not end the program, not even during the shutdown
	}
	program.awaitExit(t)
}

// expectReloads reloads a valid and an invalid configuration, and waits for the log line of each.
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
