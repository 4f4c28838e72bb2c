package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/procfs"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

const (
	floodTime     = 5 * time.Second
	memorySamples = 5 * time.Millisecond // between two samples
	longBody      = 64 << 10             // bytes; the most that the protocol allows
)

// A flood sends requests at full speed on one connection each, and the next one as soon as one is answered.
type flood struct {
	addr    string
	tenant  string
	pause   time.Duration // between an answer and the next request
	request func(id string) string

	answers  [600]atomic.Int64 // by status
	stopping atomic.Bool
	clients  sync.WaitGroup
}

// start starts n clients.
func (f *flood) start(t *testing.T, n int) {
	for i := range n {
		f.clients.Go(func() {
			for k := 0; !f.stopping.Load(); k++ {
				f.run(t, fmt.Sprintf("%s-%d-%d", f.tenant, i, k))
			}
		})
	}
}

// run sends requests on a new connection until the connection ends or the flood stops.
func (f *flood) run(t *testing.T, prefix string) {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.addr)
	if err != nil {
		<-time.After(pollInterval)
		return
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for k := 0; !f.stopping.Load(); k++ {
		conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := io.WriteString(conn, f.request(fmt.Sprint(prefix, "-", k))); err != nil {
			return
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		f.answers[response.StatusCode].Add(1)
		if response.Close {
			return
		}
		<-time.After(f.pause)
	}
}

// stop ends the clients and waits for them.
func (f *flood) stop() {
	f.stopping.Store(true)
	f.clients.Wait()
}

// jobRequest returns the request of a job with further header lines.
func jobRequest(id, tenant, more, body string) string {
	return fmt.Sprintf("POST /reading HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: reading\r\nX-Org: %s\r\n"+
		"X-Remaining: 800m\r\n%sContent-Length: %d\r\n\r\n%s", id, tenant, more, len(body), body)
}

// anonymousMemory returns the memory that processes take together, without the pages of files, in bytes. Processes that
// do not run take none.
func anonymousMemory(processes ...*fleet.Process) (sum uint64) {
	for _, process := range processes {
		proc, err := procfs.NewProc(process.ID())
		if err != nil {
			continue
		}
		if status, err := proc.NewStatus(); err == nil {
			sum += status.RssAnon
		}
	}
	return sum
}

// Guards against a scheduler that is killed over its memory limit: clients at full speed send the longest bodies, long
// ids or many header lines, at several limits. Memory stays within the limit, and clients of another tenant are served.
func TestFloodStaysWithinMemoryLimit(t *testing.T) {
	body := strings.Repeat("x", longBody)
	var manyHeaders strings.Builder
	for i := 0; manyHeaders.Len() < 15<<10; i++ {
		fmt.Fprintf(&manyHeaders, "%x:\r\n", i)
	}
	floods := map[string]func(id string) string{
		"bodies":  func(id string) string { return jobRequest(id, "south", "", body) },
		"ids":     func(id string) string { return jobRequest(id+strings.Repeat("i", 12<<10), "south", "", "x") },
		"headers": func(id string) string { return jobRequest(id, "south", manyHeaders.String(), "x") },
	}
	for name, tc := range map[string]struct {
		memoryMB, sockets int
		flood             string
	}{
		"least memory and descriptors": {32, 256, "bodies"},
		"least memory":                 {32, 1024, "bodies"},
		"memory and descriptors":       {72, 608, "bodies"},
		"least memory, long ids":       {32, 1024, "ids"},
		"least memory, many headers":   {32, 1024, "headers"},
		"most memory":                  {192, 1024, "bodies"},
	} {
		t.Run(name, func(t *testing.T) {
			topology := DefaultTopology()
			topology.MemoryMB, topology.Sockets = tc.memoryMB, tc.sockets
			d := deploy(t, topology)
			usual := &flood{
				addr: d.Addr(), tenant: "north", pause: 100 * time.Millisecond,
				request: func(id string) string { return jobRequest(id, "north", "", "x") },
			}
			crowd := &flood{addr: d.Addr(), tenant: "south", request: floods[tc.flood]}
			usual.start(t, 4)
			crowd.start(t, tc.sockets/3-8) // clients hold a third of the descriptors at most
			highest := uint64(0)
			for end := time.Now().Add(floodTime); time.Now().Before(end); <-time.After(memorySamples) {
				highest = max(highest, anonymousMemory(d.Current))
			}
			crowd.stop()
			usual.stop()
			t.Logf("%d KiB of memory; usual clients served %d, shed %d", highest>>10,
				usual.answers[http.StatusOK].Load(), usual.answers[http.StatusServiceUnavailable].Load())
			if limit := uint64(tc.memoryMB) << 20; highest > limit {
				t.Errorf("memory reached %d bytes, want at most %d", highest, limit)
			}
			if served, shed := usual.answers[http.StatusOK].Load(), usual.answers[503].Load(); served <= shed {
				t.Errorf("usual clients: %d jobs served and %d shed, want more served", served, shed)
			}
			must(t, d.Terminate(t.Context()))
		})
	}
}

// Guards against two processes of a scheduler that are over its memory limit together while one takes over from the
// other under a flood. The upgrade completes in the time that the platform gives.
func TestFloodDuringUpgradeStaysWithinMemoryLimit(t *testing.T) {
	topology := DefaultTopology()
	topology.MemoryMB, topology.Sockets = 32, 1024
	d := deploy(t, topology)
	body := strings.Repeat("x", longBody)
	crowd := &flood{
		addr: d.Addr(), tenant: "south", request: func(id string) string { return jobRequest(id, "south", "", body) },
	}
	crowd.start(t, topology.Sockets/3)
	await(t, "the flood is answered", testTimeout, func() bool { return crowd.answers[http.StatusOK].Load() > 100 })
	old := d.Current
	next, err := d.StartNext()
	must(t, err)
	upgraded := make(chan error, 1)
	go func() {
		if _, err := AwaitReady(t.Context(), next); err != nil {
			upgraded <- err
			return
		}
		upgraded <- d.completeUpgrade(t.Context(), &UpgradeReport{}, next)
	}()
	highest := uint64(0)
	for done := false; !done; {
		select {
		case err := <-upgraded:
			must(t, err)
			done = true
		case <-time.After(memorySamples):
			highest = max(highest, anonymousMemory(old, next))
		}
	}
	crowd.stop()
	t.Logf("%d KiB of memory of both processes", highest>>10)
	if limit := uint64(topology.MemoryMB) << 20; highest > limit {
		t.Errorf("memory of both processes reached %d bytes, want at most %d", highest, limit)
	}
	must(t, d.Terminate(t.Context()))
}
