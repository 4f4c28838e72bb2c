package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/standin"
)

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// writeText writes text to a connection.
func writeText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// pipe returns both ends of a connection.
func pipe(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l := listen(t)
	c := dial(t, l.Addr())
	o, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { o.Close() })
	return c.(*net.TCPConn), o.(*net.TCPConn)
}

const waitTimeout = 20 * time.Second // for what must happen, on any machine

const testSettings = `{"balancers":1,"discovery":"subscribe","dcs":["a"],"zone":"a","flavors":["k"],
 "grades":[{"name":"reading","aim":500000000,"deadline":20000000000,"effect":"idempotent","gain":1},
  {"name":"ratify","aim":2000000000,"deadline":20000000000,"effect":"at_most_once","gain":5}],
 "projects":[{"name":"islands","quotaRps":1000}],
 "bounds":{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":2000000000,"maxAttempts":3,
  "connIdle":30000000000,"connectTimeout":5000000000,"maxOpen":1000},
 "familyInfo":{"tellsStart":true},"obligations":{"graceToAnswer":8000000,"mustAskIn":400000000}}`

// A testWorker is a worker whose answers a test writes.
type testWorker = standin.Server

// newTestWorker serves each request, read in full, with handle, which returns whether the connection goes on.
func newTestWorker(t *testing.T, handle standin.Handler) *testWorker {
	return standin.Serve(listen(t), handle)
}

// dial opens a connection, which ends with the test.
func dial(t *testing.T, addr net.Addr) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

var writeStates = standin.WriteStates

func serveJob(c net.Conn, _ *http.Request, id string) bool {
	return writeStates(c, id, true, `"started"`, `"running","share":0.5`, `"done","result":"for `+id+`"`)
}

func closeWithoutAnswer(net.Conn, *http.Request, string) bool { return false }

func neverAnswers(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = io.Copy(io.Discard, c) // until the other side closes
	return false
}

// endpointsJSON writes an endpoint list of these workers, all live.
func endpointsJSON(seq int, whole bool, workers ...*testWorker) string {
	var hosts []string
	for i, worker := range workers {
		hosts = append(hosts, endpointJSON(i, worker, healthActive))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

func endpointJSON(i int, worker *testWorker, health string) string {
	return fmt.Sprintf(`{"host":"n%d","dial":%q,"site":"a","class":"k","block":0,"health":%q,"born_ms":0}`,
		i, worker.Addr(), health)
}

func start(t *testing.T, discovery string, workers ...*testWorker) (*Platform, *counters.Set) {
	return startWithSockets(t, 256, discovery, workers...)
}

// startWithSockets runs a scheduler whose list names these workers. Without a discovery of the test's, calls to it are
// refused.
func startWithSockets(t *testing.T, sockets int, discovery string, workers ...*testWorker) (*Platform, *counters.Set) {
	return startWithSettings(t, testSettings, sockets, discovery, workers...)
}

func startWithSettings(
	t *testing.T, settings string, sockets int, discovery string, workers ...*testWorker,
) (*Platform, *counters.Set) {
	return startWithCachedList(t, settings, sockets, discovery, endpointsJSON(1, true, workers...))
}

// refusingAddress returns an address that refuses connections and that nobody else gets meanwhile: the port
// of a listener that was closed can be another test's next one.
func refusingAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

func startWithCachedList(
	t *testing.T, settings string, sockets int, discovery, cached string,
) (*Platform, *counters.Set) {
	s, err := config.ParseSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if discovery == "" {
		discovery = refusingAddress(t)
	}
	cfg := &config.Scheduler{
		Listen: "127.0.0.1:0", Discovery: discovery, MaxDescriptors: sockets,
		CachedEndpoints: []byte(cached), Settings: s,
	}
	set, clock := &counters.Set{}, core.NewClock()
	c, err := core.New(core.Config{Settings: s, Seed: 1, Clock: clock, Counters: set})
	if err != nil {
		t.Fatal(err)
	}
	p, err := Start(cfg, c, clock, set, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.clients.listener.Close(); c.Stop() })
	await(t, "ready", c.Ready)
	return p, set
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("still not: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// A testClient is a client's connection.
type testClient struct {
	net.Conn
	br *bufio.Reader
}

func connect(t *testing.T, p *Platform) *testClient {
	t.Helper()
	c := dial(t, p.Addr())
	c.SetDeadline(time.Now().Add(waitTimeout))
	return &testClient{c, bufio.NewReader(c)}
}

// jobText is a job's request; more holds further header lines or, as "-Name",
// names one to leave out.
func jobText(class, id, remaining, body string, more ...string) string {
	text := fmt.Sprintf("POST /%s?user=7f3a9c21e0b4d655 HTTP/1.1\r\n", class)
	for _, h := range []string{
		"Host: app.svc", headerID + ": " + id, headerClass + ": " + class,
		headerTenant + ": islands", headerRemaining + ": " + remaining, headerLabels + ": slots=1,memory=0.5",
		fmt.Sprintf("Content-Length: %d", len(body)),
	} {
		name, _, _ := strings.Cut(h, ":")
		if len(more) == 0 || more[0] != "-"+name {
			text += h + "\r\n"
		}
	}
	for _, h := range more {
		if h[0] != '-' {
			text += h + "\r\n"
		}
	}
	return text + "\r\n" + body
}

func (s *testClient) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(s, text); err != nil {
		t.Fatal(err)
	}
}

// A testAnswer is the head of an answer that has been read in full.
type testAnswer struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// readAnswer reads an answer in full.
func readAnswer(br *bufio.Reader) (*testAnswer, string, error) {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, "", fmt.Errorf("no answer: %w", err)
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, "", fmt.Errorf("no complete answer: %w", err)
	}
	return &testAnswer{r.StatusCode, r.Header, r.Close}, string(body), nil
}

// answer reads one answer in full.
func (s *testClient) answer(t *testing.T) (*testAnswer, string) {
	t.Helper()
	r, body, err := readAnswer(s.br)
	if err != nil {
		t.Fatal(err)
	}
	return r, body
}

// request sends a request and reads its answer.
func (s *testClient) request(t *testing.T, text string) (*testAnswer, string) {
	t.Helper()
	s.send(t, text)
	return s.answer(t)
}

// keyedSettings is the test deployment with a deduplicated class, load reports and gossip.
var keyedSettings = strings.NewReplacer(
	`"effect":"at_most_once"`, `"effect":"deduplicated","dedupScope":"cell","keyTtl":5000000000`,
	`"bounds":{`, `"report":{"how":"answers","names":["backlog","x0"]},"bounds":{"probes":true,`,
).Replace(testSettings)

func startKeyed(t *testing.T, workers ...*testWorker) (*Platform, *counters.Set) {
	return startWithSettings(t, keyedSettings, 256, "", workers...)
}
