package platform

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/golden"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// variableParts are the parts of a text that differ from run to run.
var variableParts = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`X-Remaining: \d+u`), "X-Remaining: <time>u"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "127.0.0.1:<port>"},
	{regexp.MustCompile(`wait=\d{4}`), "wait=<four digits>"},
}

// A transcript records the bytes sent on connections, in a readable form.
type transcript struct{ text strings.Builder }

// add appends data under a title. Line ends and unprintable bytes are written as escapes.
func (tr *transcript) add(title string, data []byte) {
	text := string(data)
	for _, v := range variableParts {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	fmt.Fprintf(&tr.text, "# %s\n", title)
	for line := range strings.SplitAfterSeq(text, "\n") {
		if line != "" {
			fmt.Fprintf(&tr.text, "%q\n", line)
		}
	}
}

// A recordedListener records the bytes that its connections read.
type recordedListener struct {
	net.Listener
	mu   sync.Mutex
	read []byte
}

type recordedConn struct {
	net.Conn
	listener *recordedListener
}

// Accept implements net.Listener.
func (l *recordedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordedConn{conn, l}, nil
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.read = append(c.listener.read, p[:n]...)
	return n, err
}

// takeRead returns the bytes read since the last call.
func (l *recordedListener) takeRead() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	read := l.read
	l.read = nil
	return read
}

// TestBytesToWorkers checks the bytes of the requests to workers, jobs and health checks, against a golden file.
func TestBytesToWorkers(t *testing.T) {
	t.Parallel()
	var recorded transcript
	listener := &recordedListener{Listener: listen(t)}
	worker := standin.Serve(listener, serveJob)
	p, _ := start(t, "", worker)
	s := connect(t, p)
	for _, c := range []struct{ title, request string }{
		{"a job with all headers", jobText("reading", "j0", "5000m", "two words", "Idempotency-Key: key-1",
			"Content-Type: text/plain", "X-Resent: 1", "X-Other: not passed on")},
		{"a job with the least", jobText("ratify", "j1", "5000000u", "", "-X-Labels")},
		{"a job in chunks", jobText("reading", "j2", "5000m", "", "-Content-Length", "Transfer-Encoding: chunked") +
			"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
	} {
		r, _ := s.request(t, c.request)
		check(t, c.title, r.StatusCode, http.StatusOK)
		recorded.add(c.title, listener.takeRead())
	}
	recordHealthCheck := func(title string, p *Platform) {
		reports := make(chan core.Report, 1)
		p.pool.HealthCheck("n0", func(r core.Report) { reports <- r })
		<-reports
		recorded.add(title, listener.takeRead())
	}
	recordHealthCheck("a probe", p)
	keyed, _ := startKeyed(t, worker)
	recordHealthCheck("a probe that asks for the load", keyed)
	golden.Check(t, "to-nodes.txt", []byte(recorded.text.String()))
}

// TestBytesToDiscovery checks the bytes of the requests to discovery against a golden file.
func TestBytesToDiscovery(t *testing.T) {
	t.Parallel()
	var recorded transcript
	worker := newTestWorker(t, serveJob)
	answers := []string{endpointsJSON(7, true, worker), endpointsJSON(3, false, worker), endpointsJSON(9, true, worker)}
	calls := make(chan []byte) // the bytes of each call, taken before its answer allows the next one
	listener := &recordedListener{Listener: listen(t)}
	standin.Serve(listener, func(c net.Conn, _ *http.Request, _ string) bool {
		calls <- listener.takeRead()
		if len(answers) == 0 {
			return neverAnswers(c, nil, "")
		}
		body := answers[0]
		answers = answers[1:]
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	})
	start(t, listener.Addr().String(), worker)
	for _, title := range []string{"the first", "the changes", "the whole list, where versions went back", "the changes"} {
		recorded.add(title, <-calls)
	}
	golden.Check(t, "to-discovery.txt", []byte(recorded.text.String()))
}

// An exchange is a request that a client sends on its own connection, and its title in the transcript.
type exchange struct{ title, request string }

// rawAnswer sends a request on a new connection and returns the bytes of the answer.
func rawAnswer(t *testing.T, p *Platform, request string) []byte {
	t.Helper()
	s := connect(t, p)
	s.send(t, request)
	var raw bytes.Buffer
	r := bufio.NewReader(io.TeeReader(s.Conn, &raw))
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusContinue {
			return raw.Bytes()
		}
	}
}

// TestBytesToClients checks the bytes of the answers to clients against a golden file.
func TestBytesToClients(t *testing.T) {
	t.Parallel()
	var recorded transcript
	handle := func(c net.Conn, r *http.Request, id string) bool {
		if strings.HasPrefix(id, "lost") {
			return closeWithoutAnswer(c, r, id)
		}
		return serveJob(c, r, id)
	}
	p, _ := startWithSettings(t, keyedSettings, 256, "", newTestWorker(t, handle))
	for _, e := range append(validRequests(), rejectedRequests()...) {
		recorded.add(e.title, rawAnswer(t, p, e.request))
	}
	p.Quiesce()
	recorded.add("health while it is quiesced", rawAnswer(t, p, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))
	golden.Check(t, "to-submitters.txt", []byte(recorded.text.String()))
}

func validRequests() []exchange {
	const key = "Idempotency-Key: k"
	return []exchange{
		{"served", jobText("reading", "j0", "5000m", "ab")},
		{"served, by HTTP/1.0", strings.Replace(jobText("reading", "j1", "5000m", "ab"), "HTTP/1.1", "HTTP/1.0", 1)},
		{"told to go on", jobText("reading", "j2", "5000m", "", "Expect: 100-continue")},
		{"refused, with a time for the next try", jobText("reading", "j3", "0m", "")},
		{"refused, since it cannot be repeated in time", jobText("reading", "lost-1", "1500m", "")},
		{"failed, since it may have run", jobText("ratify", "lost-2", "5000m", "", key)},
		{"health", "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"health, by another method", "PUT /_health HTTP/1.1\r\nHost: x\r\n\r\n"},
	}
}

func rejectedRequests() []exchange {
	const class, left = "reading", "5000m"
	chunked := func(chunks string) string {
		return jobText(class, "j", left, "", "-Content-Length", "Transfer-Encoding: chunked") + chunks
	}
	return []exchange{
		{"no HTTP", "hello\r\n\r\n"},
		{"a header without a colon", jobText(class, "j", left, "", "no colon")},
		{"a control character", jobText(class, "j", left, "", "X-A: b\rc")},
		{"a folded header", jobText(class, "j", left, "", "X-A: b\r\n c")},
		{"a header name that is none", jobText(class, "j", left, "", "Transfer-Encoding : x")},
		{"a long head", jobText(class, "j", left, "", "X-Long: "+strings.Repeat("x", maxHeadBytes))},
		{"two kinds of framing", jobText(class, "j", left, "0\r\n\r\n", "Transfer-Encoding: chunked")},
		{"a length that is there twice", jobText(class, "j", left, "a", "Content-Length: 1")},
		{"chunks before HTTP/1.1", strings.Replace(chunked(""), "1.1", "1.0", 1)},
		{"a faulty chunk", chunked("x\r\n")},
		{"a long body", jobText(class, "j", left, strings.Repeat("b", maxBodyBytes+1))},
		{"a long body in chunks", chunked("10001\r\n" + strings.Repeat("b", maxBodyBytes+1) + "\r\n0\r\n\r\n")},
		{"no id", jobText(class, "j", left, "", "-X-Txn")},
		{"two tenants", jobText(class, "j", left, "", "X-Org: k")},
		{"a key that is too long", jobText(class, "j", left, "", "Idempotency-Key: "+strings.Repeat("k", maxKeyBytes+1))},
		{"no key where the class needs one", jobText("ratify", "j", left, "")},
		{"another class in the path", strings.Replace(jobText(class, "j", left, ""), "/reading", "/ratify", 1)},
		{"no time left to read", jobText(class, "j", "5", "")},
		{"labels that are none", jobText(class, "j", left, "", "-X-Labels", "X-Labels: slots")},
		{"a label that is no number", jobText(class, "j", left, "", "-X-Labels", "X-Labels: slots=-1")},
		{"an unknown class", jobText("other", "j", left, "")},
		{"an unknown tenant", jobText(class, "j", left, "", "-X-Org", "X-Org: nobody")},
		{"an id that was answered", jobText(class, "j0", left, "ab")},
		{"not by POST", strings.Replace(jobText(class, "j", left, ""), "POST", "PUT", 1)},
	}
}

// TestDatagramBytes checks the bytes of the datagram that carries a message to a peer.
func TestDatagramBytes(t *testing.T) {
	const (
		sent = 1_700_000_000_123_456 // microseconds
		want = "f0160a2418202240" + "666f786c696674" + "27c8a644"
	)
	datagram := encodeDatagram(sent, []byte("foxlift"))
	check(t, "datagram", fmt.Sprintf("%x", datagram), want)
	data, err := (&peerReceiver{}).decode(sent, datagram)
	check(t, "decoded message", string(data), "foxlift")
	check(t, "decode() error", err, error(nil))
}

// TestEndpointSnapshotBytes checks the bytes of an endpoint list in a snapshot.
func TestEndpointSnapshotBytes(t *testing.T) {
	const saved = `{"seq":8,"whole":true,"hosts":[` +
		`{"host":"n1","dial":"10.0.0.1:3000","site":"a","class":"k","block":1,"health":"active","born_ms":5},` +
		`{"host":"n2","dial":"10.0.0.2:3000","site":"b","class":"m","block":2,"health":"leaving","born_ms":-6}]}`
	watch := newEndpointWatch(t.Context(), "10.0.0.9:8500", &config.Settings{}, nil, nil)
	if _, err := watch.loadCached([]byte(saved)); err != nil {
		t.Fatal(err)
	}
	watch.answered = true
	snapshot, known := watch.snapshot()
	check(t, "snapshot() found an endpoint list", known, true)
	check(t, "endpoint list", string(snapshot.Endpoints), saved)
	check(t, "version", snapshot.Version, int64(8))
	check(t, "discovery", snapshot.Discovery, "10.0.0.9:8500")
}
