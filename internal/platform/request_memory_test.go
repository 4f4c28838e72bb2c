package platform

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against requests that take more memory than the process may use. What does not fit is shed with a plain answer
// before its body is kept, invalid input still gets its 4xx, and short requests are served.
func TestRequestsBeyondMemoryAreShed(t *testing.T) {
	held := make(chan bool)
	const processMemory, fitting = 8 * maxBodyBytes * requestMemoryDivisor, 5 // two thirds for the only tenant
	var started atomic.Int64
	var workers []*testWorker
	for range fitting + 1 {
		workers = append(workers, newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
			if strings.HasPrefix(id, "held") {
				started.Add(1)
				<-held
			}
			return serveJob(c, r, id)
		}))
	}
	p, set := start(t, "", workers...)
	p.SetMemoryLimit(processMemory)
	body := strings.Repeat("x", maxBodyBytes)
	var clients []*testClient
	for i := range fitting {
		client := connect(t, p)
		client.send(t, jobText("reading", fmt.Sprint("held", i), "15000m", body))
		clients = append(clients, client)
		await(t, "job at the worker", func() bool { return started.Load() == int64(i+1) })
	}
	client := connect(t, p)
	for _, c := range []struct {
		what, text string
		status     int
	}{
		{"long body", jobText("reading", "a", "15000m", body), 503},
		{"long chunked body", jobText("reading", "b", "15000m", "", "-Content-Length", "Transfer-Encoding: chunked") +
			httpChunk(body) + "0\r\n\r\n", 503},
		{"long body of an unknown class", jobText("other", "c", "15000m", body), 400},
		{"long body with an id in use", jobText("reading", "held0", "15000m", body), 400},
		{"short body", jobText("reading", "d", "15000m", "x"), 200},
	} {
		answer, _ := client.request(t, c.text)
		check(t, "status of a "+c.what, answer.StatusCode, c.status)
		check(t, "connection is closed after a "+c.what, answer.Close, false)
		check(t, "Retry-After after a "+c.what, answer.Header.Get(headerRetryAfter) != "", c.status == 503)
	}
	check(t, "counter jobs.no_memory", set.Get("jobs.no_memory"), int64(2))
	if used := p.clients.memory.used(); used > processMemory/requestMemoryDivisor {
		t.Errorf("requests use %d bytes, want at most %d", used, processMemory/requestMemoryDivisor)
	}
	close(held)
	for _, client := range clients {
		answer, _ := client.answer(t)
		check(t, "status of a job that was held", answer.StatusCode, 200)
	}
	await(t, "the memory is given back", func() bool { return p.clients.memory.used() == 0 })
	answer, _ := client.request(t, jobText("reading", "e", "15000m", body))
	check(t, "status of a long body after that", answer.StatusCode, 200)
}

// Guards against read buffers that take more memory than the process may use: a long head for which there is none is
// answered before it is complete, and data that is sent ahead of its time is dropped as a flood.
func TestBuffersBeyondMemory(t *testing.T) {
	worker := newTestWorker(t, neverAnswers)
	p, set := start(t, "", worker)
	p.SetMemoryLimit(requestMemoryDivisor * unreservedBytes)
	client := connect(t, p)
	incomplete := jobText("reading", "a", "900m", "", "X-Long: "+strings.Repeat("x", 2*unreservedBytes))
	client.send(t, strings.TrimSuffix(incomplete, "\r\n"))
	answer, _ := client.answer(t)
	check(t, "status of a long head", answer.StatusCode, 503)
	check(t, "connection is closed after a long head", answer.Close, true)
	check(t, "counter bad.no_memory", set.Get("bad.no_memory"), int64(1))

	client = connect(t, p)
	client.send(t, jobText("reading", "b", "900m", "x"))
	await(t, "job at the worker", func() bool { return worker.RequestCount.Load() == 1 })
	client.send(t, strings.Repeat("x", 2*unreservedBytes))
	answer, _ = client.answer(t)
	check(t, "connection is closed after a flood", answer.Close, true)
	await(t, "the memory is given back", func() bool { return p.clients.memory.used() == 0 })
}
