package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/fuzz"
)

// The fuzz tests of this package check one property of a parser each, as a function of the input bytes. A native fuzz
// target runs it with go test -fuzz; a plain go test runs it with inputs from fixed seeds.

// splitAt splits data at the given offsets, which must be in ascending order.
func splitAt(data []byte, at ...int) (parts [][]byte) {
	last := 0
	for _, i := range at {
		if i > last && i < len(data) {
			parts = append(parts, bytes.Clone(data[last:i]))
			last = i
		}
	}
	return append(parts, bytes.Clone(data[last:]))
}

// parsedRequests holds the requests that the client side parsed from the bytes of a connection.
type parsedRequests struct {
	requests    []framedRequest
	jobs        []string // of each request: the fields of its job, or the status and counter of its error
	headers     []string
	end         string // why the reading of the connection ended
	maxBuffered int    // largest size of the buffer, in bytes
}

// newMemClient returns a client connection that reads the given parts.
func newMemClient(parts [][]byte) (*clientConn, *memConn) {
	conn := &memConn{parts: parts}
	server := newClientServer(nil, core.NewClock(), &counters.Set{}, zap.NewNop(), nil, 8)
	return &clientConn{server: server, conn: conn, buf: readBuffer{conn: conn}, openedAt: time.Now()}, conn
}

// readRequests reads all requests from the parts as the goroutine of a connection does, without serving them.
func readRequests(parts [][]byte) (r parsedRequests) {
	client, conn := newMemClient(parts)
	for {
		if client.buf.buffered() == 0 && client.buf.fill() != nil {
			r.end = "end"
			return r
		}
		req, body, err := client.readRequest()
		r.maxBuffered = max(r.maxBuffered, len(client.buf.data))
		var input *inputError
		switch {
		case errors.As(err, &input):
			r.end = fmt.Sprint(input.status, " ", input.counter)
			return r
		case err != nil:
			r.end = "broken off"
			return r
		}
		r.requests = append(r.requests, framedRequest{req.Method, req.RequestURI, body, conn.read - client.buf.buffered()})
		r.headers = append(r.headers, fmt.Sprint(req.Header)) // fmt sorts the names
		job, err := parseJob(req, body)
		if errors.As(err, &input) {
			r.jobs = append(r.jobs, fmt.Sprint(input.status, " ", input.counter))
		} else {
			p := job.Payload.(*payload)
			r.jobs = append(r.jobs, fmt.Sprint(job.ID, job.Class, job.Tenant, job.Remaining, job.Key, job.Slots, job.Memory,
				job.ClientRetry, p.method, p.target))
		}
		if req.Close {
			r.end = "closed"
			return r
		}
	}
}

func (r parsedRequests) String() string {
	var b strings.Builder
	for i, q := range r.requests {
		fmt.Fprintf(&b, "[%s %q body %q end %d: %s] ", q.method, q.target, q.body, q.end, r.jobs[i])
	}
	return b.String() + r.end
}

// checkRequests compares the requests that the client side parses with those by the rules of RFC 9112, with those of
// net/http, and with its own when the bytes arrive in other pieces.
func checkRequests(t testing.TB, data []byte) {
	got := readRequests(splitAt(data))
	offset := 0
	for i, q := range got.requests {
		want, complete, valid := frameRequest(data, offset)
		if !complete || !valid || want.end != q.end || want.method != q.method || want.target != q.target ||
			!bytes.Equal(want.body, q.body) {
			t.Fatalf("request %d at %d of %q:\nthe client side reads %s\nthe rules %+v, complete %v, valid %v", i, offset, data,
				got, want, complete, valid)
		}
		r, err := http.ReadRequest(newByteReader(data[offset:]))
		if err != nil {
			t.Fatalf("request %d at %d of %q: http.ReadRequest() returned error %v, want none", i, offset, data, err)
		}
		if body, err := io.ReadAll(r.Body); err != nil || !bytes.Equal(body, q.body) || r.RequestURI != q.target {
			t.Fatalf("request %d at %d of %q: net/http reads %q %q, %v", i, offset, data, r.RequestURI, body, err)
		}
		if h := fmt.Sprint(r.Header); h != got.headers[i] {
			t.Fatalf("request %d at %d of %q: the client side reads %s, net/http %s", i, offset, data, got.headers[i], h)
		}
		offset = q.end
	}
	if got.end == "broken off" {
		if want, complete, valid := frameRequest(data, offset); complete && valid && want.end-offset < maxHeadBytes {
			t.Fatalf("%q: complete by the rules, %+v; the client side reads %s", data, want, got)
		}
	}
	if got.maxBuffered > 2*(maxHeadBytes+3*maxBodyBytes) {
		t.Fatalf("buffer has %d bytes for %d bytes of input, want at most %d", got.maxBuffered, len(data),
			2*(maxHeadBytes+3*maxBodyBytes))
	}
	rng := rand.New(rand.NewPCG(uint64(len(data)), 5))
	splitOffsets := [][]int{everyOffset(len(data))}
	for range 3 {
		splitOffsets = append(splitOffsets, []int{rng.IntN(len(data) + 1)})
	}
	for _, at := range splitOffsets {
		if split := readRequests(splitAt(data, at...)); split.String() != got.String() {
			t.Fatalf("%q: in one piece %s\nin pieces %s", data, got, split)
		}
	}
}

// everyOffset returns the offsets 0 to n-1.
func everyOffset(n int) (at []int) {
	for i := range n {
		at = append(at, i)
	}
	return at
}

// requestSeeds returns valid and invalid requests, including those of past findings.
func requestSeeds() (seeds [][]byte) {
	add := func(s ...string) {
		for _, x := range s {
			seeds = append(seeds, []byte(x))
		}
	}
	const r, m = "reading", "5000m"
	chunked := jobText(r, "j", m, "", "-Content-Length", "Transfer-Encoding: chunked")
	add(jobText(r, "j", m, "body"), jobText(r, "j", m, "")+jobText("ratify", "k", m, "x"),
		chunked+"3\r\nabc\r\n0\r\n\r\n", chunked+"3;ext=\"a\"\r\nabc\r\n0\r\nTrailer: x\r\n\r\n"+jobText(r, "k", m, ""),
		chunked+"0\r\n\r\n", chunked+"3\nabc\n0\n\n", chunked+"00000000000000003\r\nabc\r\n0\r\n\r\n",
		chunked+"+3\r\nabc\r\n0\r\n\r\n",
		chunked+"0x3\r\nabc\r\n0\r\n\r\n", chunked+" 3 \r\nabc\r\n0\r\n\r\n", chunked+"3\r\nabcd\r\n0\r\n\r\n",
		chunked+"ffffffffffffffff\r\nabc",
		chunked+"3;"+strings.Repeat("e", 300)+"\r\nabc\r\n0\r\n\r\n", chunked+"3\r\nabc\r\n0\r\n folded\r\n\r\n",
		strings.Replace(chunked, "chunked", "chunked, chunked", 1)+"0\r\n\r\n",
		strings.Replace(chunked, "chunked", "identity", 1),
		strings.Replace(chunked, "chunked", "\x0bchunked", 1)+"0\r\n\r\n",
		strings.Replace(chunked, "chunked", "Chunked", 1)+"0\r\n\r\n",
		strings.Replace(chunked, "Transfer-Encoding:", "Transfer-Encoding :", 1)+"0\r\n\r\n",
		jobText(r, "j", m, "", "Transfer-Encoding: chunked")+"0\r\n\r\n", jobText(r, "j", m, "a", "Content-Length: 1"),
		"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", "GET /_health HTTP/1.0\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\nHost: x\n\n",
		"POST /a/../b?user=%zz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"hello\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "GET / HTTP/1.1 \r\n\r\n")
	// More bytes than the initial size of a buffer.
	add(strings.Replace(chunked, "1.1", "1.0", 1)+"3\r\nabc\r\n0\r\n\r\n", strings.Repeat(jobText(r, "j", m, "body"), 14))
	for _, length := range []string{
		"+5", "-1", "0x5", "5, 5", "5 5", "", "1e1", "99999999999999999999",
		"18446744073709551621", "٥", "5\x00",
	} {
		add(jobText(r, "j", m, "", "-Content-Length", "Content-Length: "+length) + "abcde")
	}
	for _, header := range []string{
		"X-A: b\r\n c", "X-A: b\rc", "X-A: b\x00c", "X A: b", ": b", "X-Labels: slots=1e400",
		"X-Remaining: 1e400m", "X-Org: \xff",
	} {
		add(jobText(r, "j", m, "ab", header))
	}
	return seeds
}

func FuzzRequests(f *testing.F) {
	for _, s := range requestSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkRequests(t, data) })
}

func TestFuzzRequests(t *testing.T) { fuzz.Run(t, 1, 4000, requestSeeds(), checkRequests) }

// The outcome of parsing a request or a worker's answer must not depend on how its bytes are split into reads. Every
// message is split at every byte boundary, and a short one also at every pair of boundaries.
func TestEverySplit(t *testing.T) {
	const short = 150
	for _, data := range requestSeeds() {
		want := readRequests(splitAt(data)).String()
		for i := range data {
			if got := readRequests(splitAt(data, i)).String(); got != want {
				t.Fatalf("%q cut at %d: %s, whole %s", data, i, got, want)
			}
			for k := i + 1; len(data) <= short && k < len(data); k++ {
				if got := readRequests(splitAt(data, i, k)).String(); got != want {
					t.Fatalf("%q cut at %d and %d: %s, whole %s", data, i, k, got, want)
				}
			}
		}
	}
	for _, data := range answerSeeds() {
		outcome := func(parts [][]byte) string {
			conn := &memConn{parts: parts}
			a := &attempt{pool: &workerPool{}, job: &core.Job{ID: "j"}, report: func(core.Report) {}}
			r, _ := a.receiveAnswer(&workerConn{Conn: conn, buf: readBuffer{conn: conn}})
			return fmt.Sprint(r.Code, string(r.Result))
		}
		want := outcome(splitAt(data))
		for i := 0; i < len(data); i += 1 + len(data)/2000 { // long messages at about 2,000 offsets
			if got := outcome(splitAt(data, i)); got != want {
				t.Fatalf("%.300q cut at %d: %s, whole %s", data, i, got, want)
			}
			for k := i + 1; len(data) <= short && k < len(data); k++ {
				if got := outcome(splitAt(data, i, k)); got != want {
					t.Fatalf("%q cut at %d and %d: %s, whole %s", data, i, k, got, want)
				}
			}
		}
	}
}
