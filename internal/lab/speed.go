package lab

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// Speed measures one scheduler process: jobs a second and latency with so many
// connections, each sending its next job when it has the answer, to nodes that
// answer at once. program is the scheduler's binary: two builds can be compared.
func Speed(w io.Writer, program string, connections []int, each time.Duration) error {
	r, err := Start(Topology{
		Sockets: 1024, Zones: []string{"east"}, Kinds: []WorkerKind{{"fast", 8, 64, 1}}, Tenants: []Tenant{{"all", 1}},
		Classes: []Class{{"reading", "idempotent", time.Nanosecond, 1, 500 * time.Millisecond, 5 * time.Second}},
	})
	if err != nil {
		return err
	}
	defer r.Close()
	for _, n := range r.Workers {
		n.Work = func(string) time.Duration { return 0 }
	}
	config, err := r.Config(0)
	if err != nil {
		return err
	}
	l, err := standin.Listen()
	if err != nil {
		return err
	}
	addr := l.Addr().String()
	l.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_LISTEN="+addr)
	cmd.Stderr = io.Discard
	if err := cmd.Start(); err != nil {
		return err
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
	}()
	for began := time.Now(); ; {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
			break
		}
		if time.Since(began) > 10*time.Second {
			return errors.New("the scheduler does not listen")
		}
		<-time.After(10 * time.Millisecond)
	}
	fmt.Fprintln(w, "connections  jobs a second     p50     p99   p99.9  not served")
	for _, n := range connections {
		h, other, took := closedLoop(addr, n, each)
		fmt.Fprintf(w, "%11d  %13.0f  %4.2f ms %4.2f ms %4.2f ms %8d\n", n, float64(h.TotalCount())/took.Seconds(),
			float64(h.ValueAtQuantile(50))/1e6, float64(h.ValueAtQuantile(99))/1e6, float64(h.ValueAtQuantile(99.9))/1e6, other)
	}
	return nil
}

// closedLoop runs n submitters that each wait for their answer.
func closedLoop(addr string, n int, each time.Duration) (h *hdrhistogram.Histogram, other int, took time.Duration) {
	h = hdrhistogram.New(1000, int64(10*time.Second), 3)
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	for i := range n {
		s := &standin.Submitter{
			Addr: addr, Tenant: "all", Class: "reading", Aim: 5 * time.Second, Remaining: 5 * time.Second,
			Name: fmt.Sprintf("speed-%d-%d-%d", n, i, began.UnixNano()),
		}
		wait.Go(func() {
			for time.Since(began) < each {
				s.Send()
			}
			mu.Lock()
			defer mu.Unlock()
			for _, took := range s.Latencies() {
				h.RecordValue(int64(took))
			}
			t := s.Take()
			other += t.Asked - t.Served
		})
	}
	wait.Wait()
	return h, other, time.Since(began)
}
