package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test binary runs as foxlift itself where this variable is set.
const (
	runAsFoxlift       = "FOXLIFT_TEST_MAIN"
	lowDescriptorLimit = "FOXLIFT_TEST_FEW_FILES" // it may hold 256 descriptors
)

func TestMain(m *testing.M) {
	if os.Getenv(runAsFoxlift) != "" {
		if os.Getenv(lowDescriptorLimit) != "" {
			syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 256, Max: 256})
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// foxlift returns the program, not yet started, with a configuration of the
// example's, changed.
func foxlift(t *testing.T, old, with string) *exec.Cmd {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), old) {
		t.Fatalf("%s is not in the example", old)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, with, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsFoxlift+"=1", "LB_CONFIG="+path, "LB_LISTEN=127.0.0.1:0")
	return cmd
}

// A bad configuration is one line that names the key, and exit code 1.
func TestInvalidConfiguration(t *testing.T) {
	for key, c := range map[string][2]string{
		"settings.grades[0].deadline": {`"deadline": 5000000000`, `"deadline": 0`},
		"known":                       {`"known": null`, `"known": {"seq": "x"}`},
		"discovery (LB_DISCOVERY)":    {`127.0.0.1:8500`, `nowhere`},
		"settings.balancers":          {`"balancers": 1`, `"balancers": 0`},
	} {
		out, err := foxlift(t, c[0], c[1]).CombinedOutput()
		if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != 1 {
			t.Errorf("%s: %v, want exit code 1", key, err)
		}
		if !bytes.HasPrefix(out, []byte("foxlift: "+key+": ")) || bytes.Count(out, []byte("\n")) != 1 {
			t.Errorf("%s: %q", key, out)
		}
	}
}

// The program starts with the example's configuration, serves its health, prints
// its counters when asked and at its end, and ends with exit code 0.
func TestStartAndShutdown(t *testing.T) {
	cmd := foxlift(t, `"known": null`, `"known": {"seq":1,"hosts":[{"host":"h","dial":"127.0.0.1:1","health":"active"}]}`)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := bufio.NewScanner(stderr)
	until := func(what string) string {
		for lines.Scan() {
			if strings.Contains(lines.Text(), what) {
				return lines.Text()
			}
		}
		t.Fatalf("it never says %q", what)
		return ""
	}
	_, addr, _ := strings.Cut(until("listening for clients"), `"address": "`)
	addr, _, _ = strings.Cut(addr, `"`)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// It is well as soon as it has found that nobody listens at discovery's address: until then the saved
	// list may be old.
	answers, status := bufio.NewReader(conn), 0
	for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); {
		io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		status = resp.StatusCode
	}
	if status != http.StatusOK {
		t.Errorf("health %d", status)
	}
	// A reload never ends it, not even amid its end; a faulty file is one line.
	path := ""
	for _, v := range cmd.Env {
		if name, value, _ := strings.Cut(v, "="); name == "LB_CONFIG" {
			path = value
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for with, want := range map[string]string{"127.0.0.1:1": `"discovery": "127.0.0.1:1"`, "": `reload: configuration rejected	{"name": "toy", "error": "discovery`} {
		now := bytes.Replace(text, []byte("127.0.0.1:8500"), []byte(with), 1)
		if err := os.WriteFile(path, now, 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		until(want)
	}
	for _, s := range []os.Signal{syscall.SIGUSR1, syscall.SIGTERM} {
		cmd.Process.Signal(s)
		until("accept.connections 1")
		cmd.Process.Signal(syscall.SIGHUP)
	}
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
}
