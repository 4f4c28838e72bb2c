package main

import (
	"bufio"
	"errors"
	"fmt"
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

	"github.com/vatu-meals/foxlift/internal/dialtest"
)

// Environment variables for the test binary.
const (
	runAsFoxlift       = "FOXLIFT_TEST_MAIN"      // if set, the test binary runs as foxlift
	lowDescriptorLimit = "FOXLIFT_TEST_FEW_FILES" // if set, it may open 256 file descriptors
)

const (
	testTimeout   = 20 * time.Second
	healthRequest = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
)

// TestMain runs the tests, or foxlift itself if runAsFoxlift is set.
func TestMain(m *testing.M) {
	if os.Getenv(runAsFoxlift) == "" {
		os.Exit(m.Run())
	}
	if os.Getenv(lowDescriptorLimit) != "" {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 256, Max: 256}); err != nil {
			panic(err)
		}
	}
	main()
}

// A process is a foxlift process that a test starts.
type process struct {
	*exec.Cmd
	config string         // path of the configuration file
	lines  *bufio.Scanner // lines of its standard error
}

// newProcess returns a process that is not yet started. Its configuration is the example with one text replaced by
// another.
func newProcess(t *testing.T, old, replacement string) *process {
	t.Helper()
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), old) {
		t.Fatalf("%s is not in the example", old)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return &process{
		Cmd:    newCommand(t, "LB_CONFIG="+path, "LB_LISTEN=127.0.0.1:0"),
		config: path,
	}
}

// newCommand returns a command that runs foxlift without arguments. It is killed at the end of the test.
func newCommand(t *testing.T, env ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), runAsFoxlift+"=1")
	cmd.Env = append(cmd.Env, env...)
	return cmd
}

// newProcessWithEndpoints returns a process that is not yet started, with entries in the cached endpoint list.
func newProcessWithEndpoints(t *testing.T, entries ...string) *process {
	t.Helper()
	return newProcess(t, `"known": null`, `"known": {"seq":1,"hosts":[`+strings.Join(entries, ",")+`]}`)
}

// endpoint returns the entry of an active worker in an endpoint list.
func endpoint(name, address string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"health":"active"}`, name, address)
}

// start starts the process and begins to read its standard error.
func (p *process) start(t *testing.T) {
	t.Helper()
	stderr, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Wait() }) // returns an error if the test has already waited
	p.lines = bufio.NewScanner(stderr)
}

// startServing starts the process and returns the address on which it serves clients.
func (p *process) startServing(t *testing.T) (address string) {
	t.Helper()
	p.start(t)
	_, rest, _ := strings.Cut(p.awaitLine(t, "listening for clients"), `"address": "`)
	address, _, _ = strings.Cut(rest, `"`)
	return address
}

// awaitLine reads the output of the process up to a line that contains text, and returns that line.
func (p *process) awaitLine(t *testing.T, text string) string {
	t.Helper()
	for p.lines.Scan() {
		if strings.Contains(p.lines.Text(), text) {
			return p.lines.Text()
		}
	}
	t.Fatalf("the output ended without a line that contains %q", text)
	return ""
}

// signal sends a signal to the process, unless it has exited.
func (p *process) signal(t *testing.T, signal os.Signal) {
	t.Helper()
	if err := p.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// awaitExit waits until the process exits, and checks that its exit code is 0.
func (p *process) awaitExit(t *testing.T) {
	t.Helper()
	for p.lines.Scan() {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the process exited with %v, want code 0", err)
	}
}

// listen listens on a free address until the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// A connection is a client's connection to the process.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection with a deadline of testTimeout. It is closed at the end of the test.
func dial(t *testing.T, address string) *connection {
	t.Helper()
	c := dialtest.Dial(t, "tcp", address)
	c.SetDeadline(time.Now().Add(testTimeout))
	return &connection{c, bufio.NewReader(c)}
}

// send writes a text to the connection.
func (c *connection) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// mustSend is send; an error fails the test.
func (c *connection) mustSend(t *testing.T, text string) {
	t.Helper()
	if err := c.send(text); err != nil {
		t.Fatal(err)
	}
}

// A response is an HTTP response of the process.
type response struct {
	status  int
	closes  bool  // the response closes the connection
	bodyErr error // error of reading the body; nil if the body is complete
}

// receive reads the next response. It returns an error if there is none.
func (c *connection) receive() (response, error) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, err
	}
	defer r.Body.Close()
	_, bodyErr := io.Copy(io.Discard, r.Body)
	return response{status: r.StatusCode, closes: r.Close, bodyErr: bodyErr}, nil
}

// jobText returns the request of a job without a body.
func jobText(class, id, remaining string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: islands\r\n"+
		"X-Remaining: %s\r\nContent-Length: 0\r\n\r\n", class, id, class, remaining)
}
