package main

import (
	"bufio"
	"bytes"
	"encoding/json"
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

	"github.com/vatu-meals/foxlift/internal/standin"
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
	_, addr, _ := strings.Cut(until("it listens"), `"address": "`)
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
	for with, want := range map[string]string{"127.0.0.1:1": `"discovery": "127.0.0.1:1"`, "": `not reloaded	{"name": "toy", "error": "discovery`} {
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

// command runs a command of foxlift's to its end.
func command(t *testing.T, env []string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), runAsFoxlift+"=1"), env...)
	out, err := cmd.CombinedOutput()
	if _, failed := err.(*exec.ExitError); err != nil && !failed {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// check prints a line a fault and exits with 1; what is sound it says so.
func TestCheck(t *testing.T) {
	env := []string{"LB_CONFIG=../../examples/config.json"}
	if out, code := command(t, env, "check", "--operator", "../../deploy/operator.example.sexp"); code != 0 || !strings.Contains(out, "sound: 2 cells") {
		t.Errorf("%d: %s", code, out)
	}
	if out, code := command(t, []string{"LB_CONFIG=../../examples/keyed.json"}, "check"); code != 0 {
		t.Errorf("%d: %s", code, out)
	}
	bad := filepath.Join(t.TempDir(), "bad.sexp")
	os.WriteFile(bad, []byte("(foxlift (control (socket 7))\n (cells (cell a (share 9)) (cell a)))"), 0o600)
	out, code := command(t, env, "check", "--operator", bad)
	if code != 1 || strings.Count(out, bad+":") != 3 || !strings.Contains(out, bad+":2:24: cells.cell a.share: ") {
		t.Errorf("%d: %s", code, out)
	}
	for _, args := range [][]string{{"serve", "--operator", bad}, {"cells", "show"}, {"cells", "move", "t"}, {"nonsense"}, {"serve", "--log-format", "xml"}} {
		if out, code := command(t, env, args...); code != 1 || out == "" {
			t.Errorf("%v: %d: %s", args, code, out)
		}
	}
	if out, code := command(t, nil, "version"); code != 0 || !strings.HasPrefix(out, "foxlift ") {
		t.Errorf("%d: %s", code, out)
	}
}

// The cells commands against a running scheduler.
func TestCellsCommands(t *testing.T) {
	dir := t.TempDir()
	operator, socket := filepath.Join(dir, "o.sexp"), filepath.Join(dir, "c.sock")
	text := `(foxlift (control (socket "` + socket + `")) (cells (cell north (tenants central-belt)) (cell isles (share 0.5) (tenants islands))))`
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var hosts []string
	for i := range 6 {
		hosts = append(hosts, fmt.Sprintf(`{"host":"h%d","dial":"127.0.0.1:1","site":"stirling","class":"medium","health":"active"}`, i))
	}
	cmd := foxlift(t, `"known": null`, `"known": {"seq":1,"hosts":[`+strings.Join(hosts, ",")+`]}`)
	cmd.Args = append(cmd.Args, "serve", "--operator", operator, "--log-format", "json")
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := bufio.NewScanner(stderr)
	if !lines.Scan() || !json.Valid(lines.Bytes()) || !strings.Contains(lines.Text(), "it listens") {
		t.Fatalf("first line %q", lines.Text())
	}
	do := func(want string, code int, args ...string) string {
		t.Helper()
		out, got := command(t, nil, append(append([]string{}, args...), "--socket", socket)...)
		if got != code || !strings.Contains(out, want) {
			t.Errorf("%v: %d, %s", args, got, out)
		}
		return out
	}
	do("isles", 0, "cells", "show")
	shown := map[string]any{}
	if err := json.Unmarshal([]byte(do("", 0, "cells", "show", "--json")), &shown); err != nil || len(shown["cells"].([]any)) != 2 {
		t.Errorf("%v: %v", shown, err)
	}
	do("tenants 1, held jobs gone over 0", 0, "cells", "move", "islands", "north")
	do("the tenant is in that cell already", 1, "cells", "move", "islands", "north")
	do("there is no such cell", 1, "cells", "move", "islands", "east")
	do("tenants 2", 0, "cells", "evacuate", "north")
	do("evacuated", 0, "cells", "show")
	do("tenants 1", 0, "cells", "restore") // the other was moved to where it lives
	do(`"cells": true`, 0, "status")
	if out, code := command(t, nil, "cells", "show", "--operator", operator); code != 0 {
		t.Errorf("by the operator's file: %d, %s", code, out)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
	if _, err := os.Lstat(socket); !os.IsNotExist(err) {
		t.Errorf("the socket stays: %v", err)
	}
}

// Idle submitters hold every descriptor that submitters may have while discovery is down: when it
// is back it is asked all the same, and the node that it names gets its job.
func TestIdleClientsExhaustDescriptors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nodeAt, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := standin.Serve(nodeAt, func(c net.Conn, _ *http.Request, id string) bool {
		return standin.SayStates(c, id, true, `"started"`, `"done","result":"served"`)
	})
	defer nodeAt.Close()
	down := make(chan bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			select {
			case <-down: // it is back
				go func() {
					for br := bufio.NewReader(c); ; {
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						body := fmt.Sprintf(`{"seq":2,"whole":true,"hosts":[{"host":"h","dial":%q,"health":"active"}]}`, node.Addr())
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					}
				}()
			default:
				c.Close()
			}
		}
	}()
	cmd := foxlift(t, `"sockets": 1024`, `"sockets": 256`)
	cmd.Env = append(cmd.Env, lowDescriptorLimit+"=1", "LB_DISCOVERY="+l.Addr().String())
	addr, _ := startWith(t, cmd)
	defer cmd.Wait()
	defer cmd.Process.Kill()
	for range 400 { // more than it may hold
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	close(down)
	ask := func(text string) int {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, text)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	for end := time.Now().Add(20 * time.Second); ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n") != http.StatusOK; {
		if time.Now().After(end) {
			t.Fatal("not ready after discovery is back")
		}
	}
	if status := ask(jobText("reading", "j", "9000m")); status != http.StatusOK {
		t.Errorf("a job gets %d", status)
	}
}

// startWith starts the program and returns its address, and a channel that is closed once it
// has said that it ends.
func startWith(t *testing.T, cmd *exec.Cmd) (addr string, ends chan bool) {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(stderr)
	for addr == "" && lines.Scan() {
		if _, rest, there := strings.Cut(lines.Text(), `"address": "`); there {
			addr, _, _ = strings.Cut(rest, `"`)
		}
	}
	ends = make(chan bool)
	go func() {
		for lines.Scan() {
			if strings.Contains(lines.Text(), "it ends") {
				close(ends)
			}
		}
	}()
	return addr, ends
}

func jobText(class, id, remaining string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: islands\r\nX-Remaining: %s\r\nContent-Length: 0\r\n\r\n",
		class, id, class, remaining)
}

// Signals cross the end: SIGHUP and more SIGTERMs amid it, a job at a node that hangs, half a head,
// and a submitter that sends on its connection as long as that stays open. Each whole request has a
// whole answer or was never taken, and the program ends with exit code 0.
func TestSignalsDuringShutdown(t *testing.T) {
	nodeAt, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer nodeAt.Close()
	node := standin.Serve(nodeAt, func(c net.Conn, _ *http.Request, _ string) bool {
		io.Copy(io.Discard, c) // it hangs
		return false
	})
	cmd := foxlift(t, `"known": null`, fmt.Sprintf(`"known": {"seq":1,"hosts":[{"host":"h","dial":%q,"health":"active"}]}`, node.Addr()))
	addr, ends := startWith(t, cmd)
	defer cmd.Process.Kill()
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		conns = append(conns, c)
	}
	hanging, half, busy := conns[0], conns[1], conns[2]
	io.WriteString(hanging, jobText("ratify", "hangs", "1500m"))
	for node.Got.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	io.WriteString(half, jobText("reading", "half", "9000m")[:30])
	cmd.Process.Signal(syscall.SIGTERM)
	<-ends
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGUSR1} {
		cmd.Process.Signal(s)
	}
	asked, answered := 0, 0
	for br := bufio.NewReader(busy); ; asked++ {
		if _, err := io.WriteString(busy, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			break
		}
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error("half an answer: ", err)
		}
		answered++
		if r.Close {
			asked++
			break
		}
	}
	if answered == 0 || answered < asked {
		t.Errorf("%d answers to %d requests", answered, asked)
	}
	r, err := http.ReadResponse(bufio.NewReader(hanging), nil)
	if err != nil || r.StatusCode != http.StatusBadGateway {
		t.Errorf("the job at the hanging node: %v, %v", r, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
}
