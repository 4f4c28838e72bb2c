package service

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	crowdSize       = 500
	crowdTime       = 3 * time.Second
	usualClients    = 8
	usualPause      = 80 * time.Millisecond  // between the answer to a usual client and its next request
	usualDeadline   = 800 * time.Millisecond // of jobRequest
	lateAnswerGrace = 500 * time.Millisecond // after its deadline a request without an answer is lost
	slowWrite       = 40 * time.Millisecond  // between two pieces of a client that writes slowly
)

// A crowdClient writes to a connection until that ends, or until stop reports true.
type crowdClient func(conn net.Conn, stop func() bool)

// writeSlowly writes a request with a long body, 16 bytes at a time.
func writeSlowly(conn net.Conn, stop func() bool) {
	text := jobRequest("slow", "south", "", strings.Repeat("x", longBody))
	for i := 0; i+16 < len(text) && !stop(); i += 16 {
		if _, err := io.WriteString(conn, text[i:i+16]); err != nil {
			return
		}
		<-time.After(slowWrite)
	}
}

// stopHalfWay writes half of a request with a long body, and stays.
func stopHalfWay(conn net.Conn, _ func() bool) {
	_, _ = io.WriteString(conn, jobRequest("half", "south", "", strings.Repeat("x", longBody))[:longBody/2])
}

// writeEndlessFields writes a head of very many short fields without an end, a hundred at a time.
func writeEndlessFields(conn net.Conn, stop func() bool) {
	if _, err := io.WriteString(conn, "POST /reading HTTP/1.1\r\n"); err != nil {
		return
	}
	for !stop() {
		if _, err := io.WriteString(conn, strings.Repeat("a:\r\n", 100)); err != nil {
			return
		}
		<-time.After(slowWrite)
	}
}

// startCrowd starts clients that connect, write, wait until their connection ends and connect again. The returned
// function ends them.
func startCrowd(t *testing.T, addr string, write crowdClient) (end func()) {
	var stopping atomic.Bool
	var clients sync.WaitGroup
	for range crowdSize {
		clients.Go(func() {
			for !stopping.Load() {
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
				if err != nil {
					<-time.After(pollInterval)
					continue
				}
				write(conn, stopping.Load)
				for buffer := make([]byte, 1<<10); !stopping.Load(); {
					_ = conn.SetReadDeadline(time.Now().Add(slowWrite))
					if _, err := conn.Read(buffer); err != nil && !isTimeout(err) {
						break
					}
				}
				conn.Close()
			}
		})
	}
	return func() {
		stopping.Store(true)
		clients.Wait()
	}
}

// isTimeout reports whether an error of a connection is that of its deadline.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// usualLoad counts what usual clients got. Each sends a request, on a new connection every other time, and the next one
// a while after the answer.
type usualLoad struct {
	sent, served, shed, closed, late, failed atomic.Int64
	slowest                                  atomic.Int64 // nanoseconds until an answer
	lastFailure                              atomic.Int64 // status of the last failed request
}

// String implements fmt.Stringer.
func (u *usualLoad) String() string {
	return fmt.Sprintf(
		"sent %d, served %d, shed %d, closed unread %d, late %d, failed %d (last status %d), slowest answer %v",
		u.sent.Load(), u.served.Load(), u.shed.Load(), u.closed.Load(), u.late.Load(), u.failed.Load(),
		u.lastFailure.Load(), time.Duration(u.slowest.Load()))
}

// run sends requests until stop reports true.
func (u *usualLoad) run(t *testing.T, addr string, client int, stop func() bool) {
	var conn net.Conn
	var answers *bufio.Reader
	for k := 0; !stop(); k++ {
		if conn == nil {
			var err error
			if conn, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", addr); err != nil {
				continue
			}
			answers = bufio.NewReader(conn)
		}
		if !isOpenAndSilent(conn) { // closed while it was idle, as any client notices before its next request
			conn.Close()
			conn = nil
			continue
		}
		keep := u.request(conn, answers, fmt.Sprintf("usual-%d-%d", client, k))
		if !keep || k%2 == 1 {
			conn.Close()
			conn = nil
		}
		<-time.After(usualPause)
	}
	if conn != nil {
		conn.Close()
	}
}

// request sends one request and counts its answer. It returns whether the connection stays open.
func (u *usualLoad) request(conn net.Conn, answers *bufio.Reader, id string) (keep bool) {
	_, _ = io.WriteString(conn, jobRequest(id, "north", "", "x")) // the read below tells of a failure
	sentAt := time.Now()
	_ = conn.SetReadDeadline(sentAt.Add(usualDeadline + lateAnswerGrace))
	response, err := http.ReadResponse(answers, nil)
	u.sent.Add(1)
	if err != nil {
		if isTimeout(err) {
			u.late.Add(1)
		} else {
			u.closed.Add(1) // the scheduler may close a connection before or between requests
		}
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	for took := int64(time.Since(sentAt)); ; {
		slowest := u.slowest.Load()
		if took <= slowest || u.slowest.CompareAndSwap(slowest, took) {
			break
		}
	}
	switch response.StatusCode {
	case http.StatusOK:
		u.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		u.shed.Add(1)
	default:
		u.failed.Add(1)
		u.lastFailure.Store(int64(response.StatusCode))
	}
	return !response.Close
}

// playBeside plays usual clients for a time beside others that are already there, and returns what they got and the
// most anonymous memory that the scheduler took meanwhile.
func playBeside(t *testing.T, d *Deployment) (usual *usualLoad, memory uint64) {
	var stopping atomic.Bool
	var clients sync.WaitGroup
	usual = &usualLoad{}
	for i := range usualClients {
		clients.Go(func() { usual.run(t, d.Addr(), i, stopping.Load) })
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end); <-time.After(memorySamples) {
		memory = max(memory, anonymousMemory(d.Current))
	}
	stopping.Store(true)
	clients.Wait()
	return usual, memory
}

// Guards against a crowd that keeps usual clients waiting, or takes the scheduler over its memory limit: hundreds of
// clients write slowly, stop half way or send endless heads, and connect again when their connection is closed.
// Usual clients, also on new connections, get their answers in time, and most are served.
func TestCrowdBesideUsualClients(t *testing.T) {
	for name, write := range map[string]crowdClient{
		"slow": writeSlowly, "half way": stopHalfWay, "endless fields": writeEndlessFields,
	} {
		for _, limits := range []struct{ memoryMB, sockets int }{{32, 128}, {32, 256}, {72, 608}, {192, 1024}} {
			t.Run(fmt.Sprintf("%s, %d MB, %d descriptors", name, limits.memoryMB, limits.sockets), func(t *testing.T) {
				d := deployLimited(t, limits.memoryMB, limits.sockets)
				end := startCrowd(t, d.Addr(), write)
				usual, memory := playBeside(t, d)
				end()
				t.Logf("%v; %d KiB of memory", usual, memory>>10)
				if limit := uint64(limits.memoryMB) << 20; memory > limit {
					t.Errorf("memory reached %d bytes, want at most %d", memory, limit)
				}
				if late, failed := usual.late.Load(), usual.failed.Load(); late+failed > 0 {
					t.Errorf("%d requests of usual clients had no answer in time and %d failed, want 0 of %d",
						late, failed, usual.sent.Load())
				}
				if served, sent := usual.served.Load(), usual.sent.Load(); 2*served < sent {
					t.Errorf("%d of %d requests of usual clients served, want at least half", served, sent)
				}
				must(t, d.Terminate(t.Context()))
			})
		}
	}
}

// deployLimited starts a scheduler with these limits.
func deployLimited(t *testing.T, memoryMB, sockets int) *Deployment {
	t.Helper()
	topology := DefaultTopology()
	topology.MemoryMB, topology.Sockets = memoryMB, sockets
	return deploy(t, topology)
}
