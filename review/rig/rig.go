// Package rig holds the stand-ins of the review: discovery, workers and clients on loopback addresses, the start of
// the scheduler by the deploy file's run command, and the record of what was sent, answered and run.
package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A Record is the file record.txt of a case. Its methods may be called by any goroutine.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file of a record; its times count from now on.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// Note adds a line with the time since the start of the record.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	r.file.Close()
}

// An Env is the folder and the processes of one run.
type Env struct {
	Root   string // of the repository
	Dir    string // temporary folder
	Record *Record

	mu    sync.Mutex
	procs []*Process
}

// NewEnv returns the environment of a run; root is the repository's root.
func NewEnv(root, record string) (*Env, error) {
	r, err := NewRecord(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "foxlift-review-")
	if err != nil {
		return nil, err
	}
	return &Env{Root: root, Dir: dir, Record: r}, nil
}

// Close kills all processes that still run, removes the folder and closes the record.
func (e *Env) Close() {
	e.mu.Lock()
	procs := e.procs
	e.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	_ = os.RemoveAll(e.Dir)
	e.Record.Close()
}

// A Process is a running scheduler.
type Process struct {
	Name   string
	Listen string
	cmd    *exec.Cmd
	done   chan struct{}
}

// Pid returns its process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Exited reports whether it has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Signal sends it a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills it and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits for its end, at most for so long, and reports whether it has ended.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Run returns the run command of the deploy file.
func (e *Env) Run() (string, error) {
	text, err := os.ReadFile(filepath.Join(e.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strconv.Unquote(strings.TrimSpace(rest))
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run command")
}

// Start starts a scheduler by the run command with a configuration file and further variables.
func (e *Env) Start(name, listen, config string, extra ...string) (*Process, error) {
	run, err := e.Run()
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(e.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = e.Root
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_NAME="+name, "LB_LISTEN="+listen, "TMPDIR="+e.Dir)
	cmd.Env = append(cmd.Env, extra...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, Listen: listen, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		logFile.Close()
		e.Record.Note("%s: ended: %v", name, cmd.ProcessState)
		close(p.done)
	}()
	e.mu.Lock()
	e.procs = append(e.procs, p)
	e.mu.Unlock()
	e.Record.Note("%s: started, listens on %s", name, listen)
	return p, nil
}

// Log returns the last lines of a scheduler's log.
func (e *Env) Log(name string, lines int) string {
	text, _ := os.ReadFile(filepath.Join(e.Dir, name+".log"))
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// AwaitReady waits until GET path at an address answers 200.
func AwaitReady(addr, path string, limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + addr + path)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s%s was not ready within %v", addr, path, limit)
}

// FreeAddr returns a loopback address that nobody listens on, with a port below those that systems give to
// outgoing connections.
func FreeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20_000+rand.IntN(10_000))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port from 20000 to 29999")
}

// Main runs a case: its arguments are the repository's root and the path of the record. It returns the exit code: 1 if
// play reports a broken rule, 0 if not, and 2 if the case could not run, was interrupted or took over limit.
func Main(limit time.Duration, play func(env *Env, trouble bool) (broken bool, err error)) int {
	if len(os.Args) != 3 {
		fmt.Println("usage: PROGRAM ROOT RECORD")
		return 2
	}
	env, err := NewEnv(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer env.Close()
	if _, err := os.Stat(filepath.Join(env.Root, "bin", "foxlift")); err != nil {
		env.Record.Say("the scheduler is not built: %v", err)
		return 2
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(env, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			env.Record.Say("the case could not run: %v", r.err)
			return 2
		case r.broken:
			return 1
		}
		env.Record.Say("the rule held")
		return 0
	case <-interrupted:
		env.Record.Say("interrupted")
	case <-time.After(limit):
		env.Record.Say("the case took over %v", limit)
	}
	return 2
}

// WriteConfig writes a configuration file: the example's, changed.
func (e *Env) WriteConfig(name string, change func(config, settings map[string]any)) (string, error) {
	text, err := os.ReadFile(filepath.Join(e.Root, "examples", "config.json"))
	if err != nil {
		return "", err
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return "", err
	}
	settings, _ := config["settings"].(map[string]any)
	change(config, settings)
	if text, err = json.MarshalIndent(config, "", " "); err != nil {
		return "", err
	}
	path := filepath.Join(e.Dir, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}
