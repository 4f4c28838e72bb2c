package platform

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/core"
)

// Guards against long answers of workers that take any amount of memory. As many as there is memory for are read at a
// time, the others wait at the worker; short answers need no memory of their own.
func TestLongAnswersTakeTurns(t *testing.T) {
	long := strings.Repeat("r", 10*lineBufferSize)
	worker := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		switch id {
		case "endless":
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+
				httpChunk(`{"id":"endless","state":"done","result":"`+long))
			return neverAnswers(c, r, id)
		case "long":
			return writeStates(c, id, true, `"started"`, `"done","result":"`+long+`"`)
		}
		return serveJob(c, r, id)
	})
	p, _ := start(t, "", worker) // without a memory limit in the configuration one long answer is read at a time
	endless, waiting, short := connect(t, p), connect(t, p), connect(t, p)
	endless.send(t, jobText("reading", "endless", "15000m", ""))
	await(t, "a long answer is read", func() bool {
		if p.pool.longAnswers.TryAcquire(1) {
			p.pool.longAnswers.Release(1)
			return false
		}
		return true
	})
	waiting.send(t, jobText("reading", "long", "15000m", ""))
	await(t, "job at the worker", func() bool { return worker.RequestCount.Load() == 2 })
	_, result := short.request(t, jobText("reading", "short", "15000m", ""))
	check(t, "result of a job with a short answer", result, "for short")
	endless.Close()
	_, result = waiting.answer(t)
	check(t, "result of a job with a long answer", result, long)
}

// Guards against a worker's answer that is kept in the read buffer as a whole while it arrives.
func TestReadBufferStaysShortDuringLongAnswer(t *testing.T) {
	line := httpChunk(`{"id":"j1","state":"running","share":0.4,"note":"` + strings.Repeat("n", 60) + `"}` + "\n")
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(line, maxBodyBytes/len(line)) +
		httpChunk(`{"id":"j1","state":"done","result":"rA"}`) + "0\r\n\r\n"
	largest := 0
	conn := &workerConn{buf: readBuffer{conn: scriptedConn{text: strings.NewReader(text)}}}
	conn.buf.reserveSize = func(size int) bool {
		largest = max(largest, size)
		return true
	}
	a := &attempt{pool: &workerPool{}, job: &core.Job{ID: "j1"}, report: func(core.Report) {}}
	if r, _ := a.receiveAnswer(conn); string(r.Result) != "rA" || largest > 4*initialBufferSize {
		t.Errorf("result %q with a buffer of %d bytes, want rA and at most %d bytes", r.Result, largest, 4*initialBufferSize)
	}
}
