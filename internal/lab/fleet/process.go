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

// Process runs one scheduler: the built program with its configuration. It can be started again after
// it has ended.
type Process struct {
	Name           string
	Addr           string // for clients
	AdminAddr      string // admin address; "" if there is none
	CheckpointPath string // the path that the operator file names; "" if there is no such file

	program string
	args    []string
	env     []string

	running sync.WaitGroup // waits for the goroutine that reads the log and waits for the exit

	mu              sync.Mutex
	cmd             *exec.Cmd     // nil while the process does not run
	done            chan struct{} // closed when the process has exited; nil before its first start
	exit            error
	killed          bool             // ended by SIGKILL through Signal
	pastCounters    map[string]int64 // summed over earlier runs of the process, as printed on SIGUSR1 and at exit
	currentCounters map[string]int64 // of the current run, as last printed
	logLines        []string         // the last maxLogLines lines
}

const (
	maxLogLines    = 200                  // kept of a process's log
	healthInterval = 5 * time.Millisecond // between two health checks of a starting process
	healthTimeout  = time.Second
)

// Start starts the process. It may not be ready when Start returns. Start fails if the process runs already.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is running", p.Name)
	}
	cmd := exec.CommandContext(context.Background(), p.program, p.args...) // Terminate and Kill end it
	cmd.Env = append(os.Environ(), p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process even if the lab is killed
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

// recordExit records the end of a run: its error and its counters.
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

// readLog records the lines of the log until it ends.
func (p *Process) readLog(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.recordLine(lines.Text())
	}
}

// recordLine records a log line; a line "name value" whose name contains a dot sets a
// counter.
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

// Signal sends a signal to the process; it returns os.ErrProcessDone if the process does not run.
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

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		_ = p.Wait() // nil for a process that was killed
	}
}

// Wait waits until the process has exited and returns its exit error; nil if it exited with code 0, was
// killed with Kill or Signal, or was never started.
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

// Done returns a channel that is closed when the current run of the process, or else its last one, has
// exited; nil before its first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ID returns the process ID; 0 if the process does not run.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Terminate ends the process with SIGTERM, waits without a time limit until it has exited and returns its
// exit error; nil if it does not run.
func (p *Process) Terminate() error {
	if p.Signal(syscall.SIGTERM) == nil {
		return p.Wait()
	}
	return nil
}

// errNotReady reports that a process was not ready within the limit of AwaitReady.
var errNotReady = errors.New("scheduler is not ready in time")

// AwaitReady waits until the health check of the process returns 200. It fails if the process exits,
// or with errNotReady after the limit.
func (p *Process) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if p.healthy(client) {
			return nil
		}
		if p.ended() {
			exit, log := p.Wait(), strings.Join(p.Log(), "\n")
			return fmt.Errorf("%s exited early: %v\n%s", p.Name, exit, log) //nolint:errorlint // exit is nil after exit code 0
		}
		<-time.After(healthInterval)
	}
	return fmt.Errorf("%s: %w", p.Name, errNotReady)
}

// healthy reports whether the health check of the process returns 200.
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

// ended reports whether the process was started and does not run any more.
func (p *Process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil && p.done != nil
}

// Log returns the last maxLogLines lines that the process has written to its standard error, over all runs.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.logLines)
}

// Counter returns a counter's value summed over all runs of the process, as each run printed it last (on
// SIGUSR1 and at exit); 0 if no run has printed it.
func (p *Process) Counter(name string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pastCounters[name] + p.currentCounters[name]
}
