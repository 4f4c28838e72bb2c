package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/fuzz"
)

// Every parser of the platform's side is fuzzed here. Each property is a function of
// bytes, played by a native target (go test -fuzz) and, from fixed seeds, by every
// plain go test.

// A memConn is a connection whose other side has written these parts, and ended.
type memConn struct {
	net.Conn // nil: nothing else is called
	parts    [][]byte
	read     int
	wrote    bytes.Buffer
}

func (c *memConn) Read(p []byte) (int, error) {
	for len(c.parts) > 0 && len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	c.parts[0] = c.parts[0][n:]
	c.read += n
	return n, nil
}
func (c *memConn) Write(p []byte) (int, error)      { return c.wrote.Write(p) }
func (c *memConn) Close() error                     { return nil }
func (c *memConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memConn) SetWriteDeadline(time.Time) error { return nil }
func (c *memConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// cut splits data at the given offsets, in order.
func cut(data []byte, at ...int) (parts [][]byte) {
	last := 0
	for _, i := range at {
		if i > last && i < len(data) {
			parts = append(parts, bytes.Clone(data[last:i]))
			last = i
		}
	}
	return append(parts, bytes.Clone(data[last:]))
}

// A reading is what the front makes of a connection's bytes.
type parsedRequests struct {
	requests []framedRequest
	jobs     []string // of each request: the job, or what is wrong with it
	headers  []string
	consumed string // how the connection's reading ended
	buffered int    // the largest that the buffer became
}

func newReader(parts [][]byte) (*clientConn, *memConn) {
	conn := &memConn{parts: parts}
	f := newClientServer(nil, core.NewClock(), &counters.Set{}, zap.NewNop(), nil, 8)
	return &clientConn{server: f, conn: conn, buf: buffer{conn: conn}, openedAt: time.Now()}, conn
}

// readAll reads requests as a submitter's goroutine does, without serving them.
func readAll(parts [][]byte) (r parsedRequests) {
	s, conn := newReader(parts)
	for {
		if s.buf.buffered() == 0 && s.buf.fill() != nil {
			r.consumed = "end"
			return r
		}
		req, body, input := s.readRequest()
		r.buffered = max(r.buffered, len(s.buf.data))
		switch {
		case input != nil:
			r.consumed = fmt.Sprint(input.status, " ", input.counter)
			return r
		case req == nil:
			r.consumed = "broken off"
			return r
		}
		r.requests = append(r.requests, framedRequest{req.Method, req.RequestURI, body, conn.read - s.buf.buffered()})
		r.headers = append(r.headers, fmt.Sprint(req.Header)) // in the order of names
		job, input := parseJob(req, body)
		if input != nil {
			r.jobs = append(r.jobs, fmt.Sprint(input.status, " ", input.counter))
		} else {
			p := job.Payload.(*payload)
			r.jobs = append(r.jobs, fmt.Sprint(job.ID, job.Class, job.Tenant, job.Remaining, job.Key, job.Slots, job.Memory, job.ClientRetry, p.method, p.target))
		}
		if req.Close {
			r.consumed = "closed"
			return r
		}
	}
}

func (r parsedRequests) String() string {
	var b strings.Builder
	for i, q := range r.requests {
		fmt.Fprintf(&b, "[%s %q body %q end %d: %s] ", q.method, q.target, q.body, q.length, r.jobs[i])
	}
	return b.String() + r.consumed
}

// checkRequests holds the front's reading against the rules of RFC 9112, against
// net/http's, and against its own when the bytes come in other pieces.
func checkRequests(t testing.TB, data []byte) {
	got := readAll(cut(data))
	at := 0
	for i, q := range got.requests {
		want, whole, sound := frameRequest(data, at)
		if !whole || !sound || want.length != q.length || want.method != q.method || want.target != q.target || !bytes.Equal(want.body, q.body) {
			t.Fatalf("request %d at %d of %q:\nthe front reads %s\nthe rules %+v, whole %v, sound %v", i, at, data, got, want, whole, sound)
		}
		r, err := http.ReadRequest(parserOf(data[at:]))
		if err != nil {
			t.Fatalf("request %d at %d of %q: net/http says %v", i, at, data, err)
		}
		if body, err := io.ReadAll(r.Body); err != nil || !bytes.Equal(body, q.body) || r.RequestURI != q.target {
			t.Fatalf("request %d at %d of %q: net/http reads %q %q, %v", i, at, data, r.RequestURI, body, err)
		}
		if h := fmt.Sprint(r.Header); h != got.headers[i] {
			t.Fatalf("request %d at %d of %q: the front reads %s, net/http %s", i, at, data, got.headers[i], h)
		}
		at = q.length
	}
	if got.consumed == "broken off" {
		if want, whole, sound := frameRequest(data, at); whole && sound && want.length-at < maxHead {
			t.Fatalf("%q: whole by the rules, %+v; the front reads %s", data, want, got)
		}
	}
	if got.buffered > 2*(maxHead+3*maxBody) {
		t.Fatalf("%d bytes are held for %d", got.buffered, len(data))
	}
	rng := rand.New(rand.NewPCG(uint64(len(data)), 5))
	splits := [][]int{everyByte(len(data))}
	for range 3 {
		splits = append(splits, []int{rng.IntN(len(data) + 1)})
	}
	for _, at := range splits {
		if other := readAll(cut(data, at...)); other.String() != got.String() {
			t.Fatalf("%q: in one piece %s\nin pieces %s", data, got, other)
		}
	}
}

func everyByte(n int) (at []int) {
	for i := range n {
		at = append(at, i)
	}
	return at
}

// requestSeeds are requests good and bad: what past findings were made of is among
// them.
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
		chunked+"0\r\n\r\n", chunked+"3\nabc\n0\n\n", chunked+"00000000000000003\r\nabc\r\n0\r\n\r\n", chunked+"+3\r\nabc\r\n0\r\n\r\n",
		chunked+"0x3\r\nabc\r\n0\r\n\r\n", chunked+" 3 \r\nabc\r\n0\r\n\r\n", chunked+"3\r\nabcd\r\n0\r\n\r\n", chunked+"ffffffffffffffff\r\nabc",
		chunked+"3;"+strings.Repeat("e", 300)+"\r\nabc\r\n0\r\n\r\n", chunked+"3\r\nabc\r\n0\r\n folded\r\n\r\n",
		strings.Replace(chunked, "chunked", "chunked, chunked", 1)+"0\r\n\r\n", strings.Replace(chunked, "chunked", "identity", 1),
		strings.Replace(chunked, "chunked", "\x0bchunked", 1)+"0\r\n\r\n", strings.Replace(chunked, "chunked", "Chunked", 1)+"0\r\n\r\n",
		strings.Replace(chunked, "Transfer-Encoding:", "Transfer-Encoding :", 1)+"0\r\n\r\n",
		jobText(r, "j", m, "", "Transfer-Encoding: chunked")+"0\r\n\r\n", jobText(r, "j", m, "a", "Content-Length: 1"),
		"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", "GET /_health HTTP/1.0\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\nHost: x\n\n",
		"POST /a/../b?user=%zz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "hello\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "GET / HTTP/1.1 \r\n\r\n")
	add(strings.Replace(chunked, "1.1", "1.0", 1)+"3\r\nabc\r\n0\r\n\r\n", strings.Repeat(jobText(r, "j", m, "body"), 14)) // more than a buffer begins with
	for _, length := range []string{"+5", "-1", "0x5", "5, 5", "5 5", "", "1e1", "99999999999999999999", "18446744073709551621", "٥", "5\x00"} {
		add(jobText(r, "j", m, "", "-Content-Length", "Content-Length: "+length) + "abcde")
	}
	for _, header := range []string{"X-A: b\r\n c", "X-A: b\rc", "X-A: b\x00c", "X A: b", ": b", "X-Labels: slots=1e400", "X-Remaining: 1e400m", "X-Org: \xff"} {
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

func TestFuzzRequests(t *testing.T) { fuzz.Play(t, 1, 4000, requestSeeds(), checkRequests) }

// checkAnswer holds what the scheduler makes of an execute node's bytes against a
// plain reading of them: one end of the claim, served only by a whole, proper answer.
func checkAnswer(t testing.TB, data []byte) {
	receive := func(parts [][]byte) (string, core.Report, int) {
		conn := &memConn{parts: parts}
		c := &workerConn{Conn: conn, buf: buffer{conn: conn}}
		notes := 0
		a := &attempt{pool: &workerPool{}, job: &core.Job{ID: "j"}, report: func(r core.Report) {
			if r.Ended {
				t.Fatalf("%q: an end among the notes", data)
			}
			notes++
		}}
		r, reusable := a.receiveAnswer(c)
		if reusable && c.buf.buffered() != 0 {
			t.Fatalf("%q: the connection is kept with %d bytes in it", data, c.buf.buffered())
		}
		return fmt.Sprintf("%v %q, %d notes", r.Code, r.Result, notes), r, conn.read
	}
	got, r, read := receive(cut(data))
	if !r.Ended {
		t.Fatalf("%q: the claim does not end", data)
	}
	if read > 2*maxResponse { // what the buffer had room for when the limit was reached
		t.Fatalf("%d bytes are read", read)
	}
	if r.Code == foxlift.Served {
		id, result, ok := plainAnswer(data)
		if !ok || id != "j" || result != string(r.Result) {
			t.Fatalf("%q: served with %q; plainly %q of %q, whole and proper %v", data, r.Result, result, id, ok)
		}
	}
	if r.Code.NeverRan() && !bytes.Contains(bytes.ToLower(data), []byte("turned-away")) && !bytes.Contains(data, []byte("returned")) && !bytes.Contains(data, []byte(`\u`)) {
		t.Fatalf("%q: proved never to have run, by nothing that says so", data)
	}
	if other, _, _ := receive(cut(data, everyByte(len(data))...)); other != got {
		t.Fatalf("%q: in one piece %s\nin pieces %s", data, got, other)
	}
}

// plainAnswer reads an answer with the library alone: ok where it is a 200 whose body
// ends properly and whose lines are sound, all of one id, the last one alone "done".
func plainAnswer(data []byte) (id, result string, ok bool) {
	br := parserOf(data)
	resp, err := http.ReadResponse(br, nil)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(br, nil)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return "", "", false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", "", false
	}
	done := false
	for _, text := range bytes.Split(body, []byte("\n")) {
		if text = bytes.TrimSpace(text); len(text) == 0 {
			continue
		}
		var n struct{ ID, State, Result string }
		keys := map[string]json.RawMessage{}
		if json.Unmarshal(text, &n) != nil || json.Unmarshal(text, &keys) != nil || done || id != "" && n.ID != id {
			return "", "", false
		}
		id, done, result = n.ID, n.State == "done", n.Result
	}
	return id, result, done
}

func answerSeeds() (seeds [][]byte) {
	line := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	note := func(id, state string) string {
		return line(fmt.Sprintf(`{"id":%q,"from":"n","state":%q,"result":"r"}`+"\n", id, state))
	}
	for _, s := range []string{
		head + note("j", "started") + note("j", "running") + note("j", "done") + "0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + head + note("j", "done") + "0\r\n\r\n",
		head + note("j", "done"), head + note("j", "done") + note("j", "done") + "0\r\n\r\n", head + note("k", "done") + "0\r\n\r\n",
		head + note("j", "done") + note("j", "running") + "0\r\n\r\n", head + note("j", "failed") + "0\r\n\r\n", head + note("j", "returned") + "0\r\n\r\n",
		head + note("j", "lost") + "0\r\n\r\n", head + note("j", "later") + "0\r\n\r\n", head + "0\r\n\r\n", head + line("not JSON\n") + "0\r\n\r\n",
		head + line(`{"id":"j","state":"failed","state":"done","result":"r"}`+"\n") + "0\r\n\r\n",
		head + line(`{"id":"j","state":"done","State":"failed","result":"r"}`+"\n") + "0\r\n\r\n",
		head + line(`{"id":"k","id":"j","state":"done","result":"r"}`+"\n") + "0\r\n\r\n",
		head + line(`{"id":"j","state":"running","share":1e400}`+"\n") + note("j", "done") + "0\r\n\r\n",
		head + line(strings.Repeat("[", 11000)+"\n") + "0\r\n\r\n", head + line(`{"id":"j","state":"done","result":"`+strings.Repeat("x", 200<<10)+`"}`+"\n") + "0\r\n\r\n",
		head + "5;" + strings.Repeat("e", 60<<10) + "\r\nabcde\r\n0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 504 Full\r\nX-Turned-Away: 1\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 500 Failed\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\n" + `{"id":"j","state":"done","result":""}`,
		"HTTP/1.1 101 Switching\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + note("j", "done") + "0\r\n\r\n",
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50), "garbage", head + note("j", "done") + "0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzAnswer(f *testing.F) {
	for _, s := range answerSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkAnswer(t, data) })
}

func TestFuzzAnswer(t *testing.T) { fuzz.Play(t, 2, 4000, answerSeeds(), checkAnswer) }

var endpointSettings = func() *config.Settings {
	s, err := config.ParseSettings([]byte(testSettings))
	if err != nil {
		panic(err)
	}
	return s
}()

// checkEndpoints holds discovery's answers to be refused whole or taken whole, with
// times that can be reckoned with, and the same again when printed and read.
func checkEndpoints(t testing.TB, data []byte) {
	l, err := parseEndpoints(data)
	if err != nil {
		return
	}
	m := newEndpointWatch("", endpointSettings, nil, zap.NewNop())
	workers := m.applyLocked(l)
	if len(workers) != len(l.Endpoints) {
		t.Fatalf("%q: %d of %d hosts", data, len(workers), len(l.Endpoints))
	}
	latest := time.Now().Add(time.Minute).UnixNano()
	for i, w := range workers {
		if w.ID == "" || w.Zone < -1 || w.Kind < -1 || w.StartedAt < 0 || w.StartedAt > latest {
			t.Fatalf("%q: host %d is %+v", data, i, w)
		}
	}
	// The same told again is no news: a start in the future must not look new each time.
	for i, w := range m.applyLocked(l) {
		if w.StartedAt != workers[i].StartedAt && countHost(l, w.ID) == 1 {
			t.Fatalf("%q: host %d started at %d, told again at %d", data, i, workers[i].StartedAt, w.StartedAt)
		}
	}
	printed, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	again, err := parseEndpoints(printed)
	if err != nil {
		t.Fatalf("%q, printed %q: %v", data, printed, err)
	}
	if twice, _ := json.Marshal(again); !bytes.Equal(printed, twice) {
		t.Fatalf("%q is printed as %q, then %q", data, printed, twice)
	}
}

func countHost(l *endpointsResponse, id string) (n int) {
	for _, h := range l.Endpoints {
		if h.ID == id {
			n++
		}
	}
	return n
}

func endpointSeeds() (seeds [][]byte) {
	for _, s := range []string{
		`{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"10.0.0.1:3000","site":"a","class":"k","block":3,"health":"active","share":1.0,"born_ms":0}]}`,
		`{"seq":1,"whole":false,"hosts":[{"host":"a","health":"left"},{"host":"a","dial":"x:1","health":"leaving","born_ms":-5}]}`,
		`{"seq":1,"hosts":[{"host":"a","dial":"x:1","health":"active","born_ms":9223372036854775807}]}`,
		`{"seq":1,"hosts":[{"host":"a","dial":"x:1","health":"active","born_ms":9000000000000}]}`,
		`{"seq":1e400}`, `{"seq":-1,"hosts":null}`, `{"seq":1,"seq":2}`, `{"hosts":[]}`, `{"seq":1,"hosts":[{"host":"","health":"active"}]}`,
		`{"seq":1,"hosts":[{"host":"a","dial":"nowhere","health":"active"}]}`, `{"seq":1,"hosts":[{"host":"a","dial":"x:1","health":"well"}]}`, `[`,
	} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzEndpoints(f *testing.F) {
	for _, s := range endpointSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkEndpoints(t, data) })
}

func TestFuzzEndpoints(t *testing.T) {
	fuzz.Play(t, 3, 20000, endpointSeeds(), checkEndpoints)
	fuzz.Play(t, 5, 20000, endpointSeeds(), checkDecoder)
}

// checkValues holds the small parsers of header values to their ranges.
func checkValues(t testing.TB, data []byte) {
	s := string(data)
	if d, err := parseRemaining(s); err == nil {
		if d < 0 {
			t.Fatalf("%q is %v", s, d)
		}
		if again, err := parseRemaining(formatRemaining(d)); err != nil || again != d.Truncate(time.Microsecond) && d < time.Hour {
			t.Fatalf("%q is %v, printed and read %v, %v", s, d, again, err)
		}
	}
	if slots, memory, err := parseLabels(s); err == nil {
		for _, x := range []float64{slots, memory} {
			if !(x >= 0) || x > 1e308 {
				t.Fatalf("%q: %v and %v", s, slots, memory)
			}
		}
	}
	if isToken(s) && strings.ContainsAny(s, " \r\n\x00\x7f") {
		t.Fatalf("%q is a token", s)
	}
	for _, parse := range []func(string, []string) (loadGauges, error){
		parseLoad, func(s string, names []string) (loadGauges, error) { return parseLoadObject([]byte(s), names) },
	} {
		if l, err := parse(s, []string{"a", "b"}); err == nil {
			for _, x := range l {
				if !(x >= 0 && x <= maxGauge) {
					t.Fatalf("%q: %v", s, l)
				}
			}
		}
	}
	seen := peerReceiver{}
	seen.open(1e15, data)
	config.ParseKey(data)
}

func valueSeeds() (seeds [][]byte) {
	for _, s := range []string{"480m", "480000u", "1e400m", "0x10m", "-1m", ".m", "1.5m", "99999999999999999999m", "NaNm", "m", "", "slots=1,memory=0.5",
		"slots=1e400", "slots=-1", "slots=Inf", "slots", "a=1,b=2", `{"a":1,"b":2}`, "7f3a9c21e0b4d655"} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzValues(f *testing.F) {
	for _, s := range valueSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkValues(t, data) })
}

func TestFuzzValues(t *testing.T) { fuzz.Play(t, 4, 30000, valueSeeds(), checkValues) }

// Every message of both sides, cut at every byte boundary, and the short ones at every
// pair of boundaries: the outcome is that of the whole.
func TestEverySplit(t *testing.T) {
	const short = 150
	for _, data := range requestSeeds() {
		want := readAll(cut(data)).String()
		for i := range data {
			if got := readAll(cut(data, i)).String(); got != want {
				t.Fatalf("%q cut at %d: %s, whole %s", data, i, got, want)
			}
			for k := i + 1; len(data) <= short && k < len(data); k++ {
				if got := readAll(cut(data, i, k)).String(); got != want {
					t.Fatalf("%q cut at %d and %d: %s, whole %s", data, i, k, got, want)
				}
			}
		}
	}
	for _, data := range answerSeeds() {
		outcome := func(parts [][]byte) string {
			conn := &memConn{parts: parts}
			a := &attempt{pool: &workerPool{}, job: &core.Job{ID: "j"}, report: func(core.Report) {}}
			r, _ := a.receiveAnswer(&workerConn{Conn: conn, buf: buffer{conn: conn}})
			return fmt.Sprint(r.Code, string(r.Result))
		}
		want := outcome(cut(data))
		for i := 0; i < len(data); i += 1 + len(data)/2000 { // the longest ones at 2,000 places
			if got := outcome(cut(data, i)); got != want {
				t.Fatalf("%.300q cut at %d: %s, whole %s", data, i, got, want)
			}
			for k := i + 1; len(data) <= short && k < len(data); k++ {
				if got := outcome(cut(data, i, k)); got != want {
					t.Fatalf("%q cut at %d and %d: %s, whole %s", data, i, k, got, want)
				}
			}
		}
	}
}
