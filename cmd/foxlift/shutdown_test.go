package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

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
			if strings.Contains(lines.Text(), "shutting down") {
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
