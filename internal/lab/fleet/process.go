package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A Process is one scheduler: the built program, with its configuration. It can be
// started again after it has ended.
type Process struct {
	Name       string
	Addr       string // where submitters reach it
	Admin      string // where its operators reach it; "": nowhere
	Checkpoint string // path of its own that its operator's file has; "": there is no such file

	program string
	args    []string
	env     []string

	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{} // closed when the process has ended
	exit        error
	killed      bool             // by the rig
	counters    map[string]int64 // of all its lives, as printed at SIGUSR1 and at the end
	incarnation map[string]int64 // of this life, as last printed
	log         []string         // the last lines
	wait        sync.WaitGroup
}

const maxLogLines = 200 // of a process's log

// Start starts the process; it may not be ready when Start returns.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is running", p.Name)
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none stays when the rig itself is killed
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done, p.killed, p.incarnation = cmd, make(chan struct{}), false, map[string]int64{}
	done := p.done
	p.wait.Go(func() {
		p.read(out)
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		for name, n := range p.incarnation {
			p.counters[name] += n
		}
		p.cmd, p.exit, p.incarnation = nil, err, nil
		close(done)
	})
	return nil
}

// read takes in the log: the last lines, and counters ("name value").
func (p *Process) read(r io.Reader) {
	for s := bufio.NewScanner(r); s.Scan(); {
		line := s.Text()
		p.mu.Lock()
		if len(p.log) == maxLogLines {
			p.log = p.log[1:]
		}
		p.log = append(p.log, line)
		if f := strings.Fields(line); len(f) == 2 && strings.Contains(f[0], ".") {
			if n, err := strconv.ParseInt(f[1], 10, 64); err == nil {
				p.incarnation[f[0]] = n
			}
		}
		p.mu.Unlock()
	}
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return os.ErrProcessDone
	}
	if s == syscall.SIGKILL {
		p.killed = true
	}
	return p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		p.Wait()
	}
}

// Wait waits for the end of the process and returns what it ended with; nil for one that
// the rig killed.
func (p *Process) Wait() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return nil
	}
	return p.exit
}

// Done is closed when the process has ended; nil before its first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ID returns the process's id; 0 where it does not run.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// End ends the process with SIGTERM and waits for its end.
func (p *Process) Terminate() error {
	if p.Signal(syscall.SIGTERM) != nil {
		return nil
	}
	return p.Wait()
}

// errNotReady is what AwaitReady returns when its time is up.
var errNotReady = errors.New("the scheduler is not ready in time")

// AwaitReady waits until the process's health is 200.
func (p *Process) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if r, err := client.Get("http://" + p.Addr + "/_health"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		p.mu.Lock()
		ended := p.cmd == nil && p.done != nil // not: yet to be started
		p.mu.Unlock()
		if ended {
			return fmt.Errorf("%s ended: %v\n%s", p.Name, p.Wait(), strings.Join(p.Log(), "\n"))
		}
		<-time.After(5 * time.Millisecond)
	}
	return fmt.Errorf("%s: %w", p.Name, errNotReady)
}

// Log returns the last lines of the process's log.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// Counter returns a counter's value over all lives that have printed it.
func (p *Process) Counter(name string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters[name] + p.incarnation[name]
}
