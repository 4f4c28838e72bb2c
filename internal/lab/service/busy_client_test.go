package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	busyTime      = 2 * time.Second
	jobsPerClient = 10 // of one median
)

// busyRequests are what a client sends at full speed on one connection, by name. Each request has names of its own.
var busyRequests = map[string]func(id string) string{
	"unknown path":  func(id string) string { return "GET /" + id + " HTTP/1.1\r\nHost: a\r\n\r\n" },
	"unknown class": func(id string) string { return strings.Replace(jobRequest(id, "south", "", "x"), "reading", id, 2) },
	"unknown tenant": func(id string) string {
		return jobRequest(id, "tenant-"+id, "", "x")
	},
	"new ids":    func(id string) string { return jobRequest(id, "south", "", "") },
	"new labels": func(id string) string { return jobRequest(id, "south", "X-Labels: "+id+"=1,slots=1\r\n", "x") },
	"new keys": func(id string) string {
		target := fmt.Sprintf("/reading?user=%016x", hash(id))
		return strings.Replace(jobRequest(id, "south", "", "x"), "/reading", target, 1)
	},
}

// hash returns a number for a name.
func hash(name string) (sum uint64) {
	for _, char := range []byte(name) {
		sum = sum*1099511628211 + uint64(char)
	}
	return sum
}

// jobNumber numbers the jobs of medianAnswer, whose ids must be new.
var jobNumber atomic.Int64

// medianAnswer sends jobs of usual clients, each client one after another on a connection, and returns the median time
// until they are answered. It counts them in usual.
func medianAnswer(t *testing.T, d *Deployment, usual *usualLoad) time.Duration {
	t.Helper()
	var mu sync.Mutex
	var times []time.Duration
	var clients sync.WaitGroup
	for range usualClients {
		clients.Go(func() {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", d.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			answers := bufio.NewReader(conn)
			for range jobsPerClient {
				startedAt := time.Now()
				if !usual.request(conn, answers, fmt.Sprint("median-", jobNumber.Add(1))) {
					return
				}
				mu.Lock()
				times = append(times, time.Since(startedAt))
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if len(times) == 0 {
		t.Fatalf("usual clients: %v, want answers", usual)
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// sendWithoutReading starts a client that sends requests on one connection without awaiting their answers, which it
// reads and drops, and connects again when the connection ends. The returned function ends it.
func sendWithoutReading(t *testing.T, addr string, request func(id string) string) (end func()) {
	var stopping atomic.Bool
	var client sync.WaitGroup
	client.Go(func() {
		for k := 0; !stopping.Load(); k++ {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
			if err != nil {
				<-time.After(pollInterval)
				continue
			}
			client.Go(func() { _, _ = io.Copy(io.Discard, conn) })
			for n := 0; !stopping.Load() && err == nil; n++ {
				_, err = io.WriteString(conn, request(fmt.Sprintf("unread-%d-%d", k, n)))
			}
			conn.Close()
		}
	})
	return func() {
		stopping.Store(true)
		client.Wait()
	}
}

// Guards against a client that keeps others waiting, or makes memory grow: on one connection it sends small or unsound
// requests at full speed, each with new names, and on another one without awaiting the answers.
func TestBusyClientBesideUsualClients(t *testing.T) {
	for name, request := range busyRequests {
		for _, limits := range []struct{ memoryMB, processors int }{
			{32, runtime.NumCPU()}, {192, runtime.NumCPU()}, {32, 1},
		} {
			memoryMB := limits.memoryMB
			t.Run(fmt.Sprintf("%s, %d MB, %d processors", name, memoryMB, limits.processors), func(t *testing.T) {
				t.Setenv("GOMAXPROCS", strconv.Itoa(limits.processors)) // of the scheduler, which inherits it
				d := deployLimited(t, memoryMB, 256)
				usual := &usualLoad{}
				medianAnswer(t, d, usual) // until running times are known
				quiet := medianAnswer(t, d, usual)
				busy := &flood{addr: d.Addr(), tenant: "south", request: request}
				busy.start(t, 1)
				endUnread := sendWithoutReading(t, d.Addr(), request)
				highest, beside := uint64(0), time.Duration(0)
				for end := time.Now().Add(busyTime); time.Now().Before(end); {
					beside = max(beside, medianAnswer(t, d, usual))
					highest = max(highest, anonymousMemory(d.Current))
				}
				busy.stop()
				endUnread()
				answers := int64(0)
				for status := range busy.answers {
					answers += busy.answers[status].Load()
				}
				t.Logf("median %v without and at most %v beside %d requests; %v; %d KiB of memory",
					quiet, beside, answers, usual, highest>>10)
				if late, failed := usual.late.Load(), usual.failed.Load(); late+failed > 0 {
					t.Errorf("%d requests of usual clients had no answer in time and %d failed, want 0", late, failed)
				}
				if limit := 2 * quiet; beside > limit {
					t.Errorf("median answer %v beside the busy client, want at most %v", beside, limit)
				}
				if limit := uint64(memoryMB) << 20; highest > limit {
					t.Errorf("memory reached %d bytes, want at most %d", highest, limit)
				}
				if busy.answers[http.StatusTooManyRequests].Load() > 0 {
					t.Error("a busy client got 429, want none")
				}
				must(t, d.Terminate(t.Context()))
			})
		}
	}
}
