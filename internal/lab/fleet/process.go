package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A Process is one scheduler: the built program, with its configuration. It can be
// started again after it has ended.
type Process struct {
	Name           string
	Addr           string // where clients reach it
	AdminAddr      string // where its operators reach it; "": nowhere
	CheckpointPath string // path of its own that its operator's file has; "": there is no such file

	program string
	args    []string
	env     []string

	running sync.WaitGroup // what reads the process's log and waits for its end

	mu              sync.Mutex
	cmd             *exec.Cmd     // nil: it does not run
	done            chan struct{} // closed when the process has ended; nil: it was never started
	exit            error
	killed          bool             // with Kill, not by itself
	pastCounters    map[string]int64 // of its ended incarnations, as printed at SIGUSR1 and at the end
	currentCounters map[string]int64 // counters of this incarnation, as last printed
	logLines        []string         // the last lines
}

const (
	maxLogLines    = 200                  // of a process's log that are kept
	healthInterval = 5 * time.Millisecond // between two health checks of a process that starts
	healthTimeout  = time.Second
)

// Start starts the process; it may not be ready when Start returns.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is running", p.Name)
	}
	cmd := exec.CommandContext(context.Background(), p.program, p.args...) // Terminate and Kill end it
	cmd.Env = append(os.Environ(), p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the lab, also if it is killed
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	p.killed = false
	p.currentCounters = map[string]int64{}
	p.running.Go(func() {
		p.readLog(log)
		p.recordExit(cmd.Wait())
	})
	return nil
}

// recordExit takes in what the process ended with.
func (p *Process) recordExit(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, value := range p.currentCounters {
		p.pastCounters[name] += value
	}
	p.cmd = nil
	p.exit = err
	p.currentCounters = nil
	close(p.done)
}

// read takes in the log: the last lines, and counters ("name value").
func (p *Process) readLog(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.recordLine(lines.Text())
	}
}

func (p *Process) recordLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.logLines) == maxLogLines {
		p.logLines = p.logLines[1:]
	}
	p.logLines = append(p.logLines, line)
	fields := strings.Fields(line)
	if len(fields) != 2 || !strings.Contains(fields[0], ".") {
		return
	}
	if value, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
		p.currentCounters[fields[0]] = value
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
		_ = p.Wait() // nil for a process that was killed
	}
}

// Wait waits for the end of the process and returns what it ended with; nil for one that
// Kill ended.
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

// Terminate ends the process with SIGTERM and waits for its end; nil for one that does not run.
func (p *Process) Terminate() error {
	if p.Signal(syscall.SIGTERM) == nil {
		return p.Wait()
	}
	return nil
}

// errNotReady is what AwaitReady returns when its time is up.
var errNotReady = errors.New("the scheduler is not ready in time")

// AwaitReady waits until the process's health is 200.
func (p *Process) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if p.healthy(client) {
			return nil
		}
		if p.ended() {
			exit, log := p.Wait(), strings.Join(p.Log(), "\n")
			return fmt.Errorf("%s ended: %v\n%s", p.Name, exit, log) //nolint:errorlint // exit is nil after exit code 0
		}
		<-time.After(healthInterval)
	}
	return fmt.Errorf("%s: %w", p.Name, errNotReady)
}

// healthy reports whether the process says that it is ready.
func (p *Process) healthy(client *http.Client) bool {
	url := "http://" + p.Addr + "/_health"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ended reports whether the process was started and does not run.
func (p *Process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil && p.done != nil
}

// Log returns the last lines of the process's log.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.logLines)
}

// Counter returns a counter's value over all incarnations that have printed it.
func (p *Process) Counter(name string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pastCounters[name] + p.currentCounters[name]
}
