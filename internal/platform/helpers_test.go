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
	"github.com/vatu-meals/foxlift/internal/dialtest"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// check reports an error if got differs from want.
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

const waitTimeout = 20 * time.Second // for conditions that must come true on any machine, also a slow one

// testSettings is a deployment with an idempotent and an at-most-once class.
const testSettings = `{"balancers":1,"discovery":"subscribe","dcs":["a"],"zone":"a","flavors":["k"],
 "grades":[{"name":"reading","aim":500000000,"deadline":20000000000,"effect":"idempotent","gain":1},
  {"name":"ratify","aim":2000000000,"deadline":20000000000,"effect":"at_most_once","gain":5}],
 "projects":[{"name":"islands","quotaRps":1000}],
 "bounds":{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":2000000000,"maxAttempts":3,
  "connIdle":30000000000,"connectTimeout":5000000000,"maxOpen":1000},
 "familyInfo":{"tellsStart":true},"obligations":{"graceToAnswer":8000000,"mustAskIn":400000000}}`

// A testWorker is a worker whose answers are written by a test.
type testWorker = standin.Server

// newTestWorker starts a worker that calls handle for each request, after reading it completely. handle returns whether
// the connection stays open.
func newTestWorker(t *testing.T, handle standin.Handler) *testWorker {
	return standin.Serve(listen(t), handle)
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr net.Addr) net.Conn {
	t.Helper()
	return dialtest.Dial(t, "tcp", addr.String())
}

// listen opens a listener on a free port that is closed at the end of the test.
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

// serveJob answers a job with the states started, running and done.
func serveJob(c net.Conn, _ *http.Request, id string) bool {
	return writeStates(c, id, true, `"started"`, `"running","share":0.5`, `"done","result":"for `+id+`"`)
}

// closeWithoutAnswer is a handler that closes the connection.
func closeWithoutAnswer(net.Conn, *http.Request, string) bool { return false }

// neverAnswers is a handler that waits until the other side closes the connection.
func neverAnswers(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// endpointsJSON returns an endpoint list of the workers, all active.
func endpointsJSON(seq int, whole bool, workers ...*testWorker) string {
	var hosts []string
	for i, worker := range workers {
		hosts = append(hosts, endpointJSON(i, worker, healthActive))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

// endpointJSON returns the endpoint list entry of a worker with the host name n<i>.
func endpointJSON(i int, worker *testWorker, health string) string {
	return fmt.Sprintf(`{"host":"n%d","dial":%q,"site":"a","class":"k","block":0,"health":%q,"born_ms":0}`,
		i, worker.Addr(), health)
}

// start runs a scheduler with testSettings and 256 descriptors.
func start(t *testing.T, discovery string, workers ...*testWorker) (*Platform, *counters.Set) {
	return startWithSockets(t, 256, discovery, workers...)
}

// startWithSockets runs a scheduler whose cached endpoint list holds the workers. If discovery is empty, connections to
// discovery are refused.
func startWithSockets(t *testing.T, sockets int, discovery string, workers ...*testWorker) (*Platform, *counters.Set) {
	return startWithSettings(t, testSettings, sockets, discovery, workers...)
}

func startWithSettings(
	t *testing.T, settings string, sockets int, discovery string, workers ...*testWorker,
) (*Platform, *counters.Set) {
	return startWithCachedList(t, settings, sockets, discovery, endpointsJSON(1, true, workers...))
}

// refusingAddress returns an address that refuses connections until the end of the test. Its port stays bound: the port
// of a closed listener could be given to another test.
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

// await waits until a condition is true, at most waitTimeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("condition still false after %v: %s", waitTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// A testClient is a client's connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a client's connection to a scheduler.
func connect(t *testing.T, p *Platform) *testClient {
	t.Helper()
	c := dial(t, p.Addr())
	c.SetDeadline(time.Now().Add(waitTimeout))
	return &testClient{c, bufio.NewReader(c)}
}

// jobText returns the request of a job. more holds further header lines; if its first element is "-Name", the header
// with that name is left out.
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

// send writes text to the connection.
func (s *testClient) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(s, text); err != nil {
		t.Fatal(err)
	}
}

// A testAnswer is the head of an answer that has been read completely.
type testAnswer struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// readAnswer reads an answer completely and returns its head and body.
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

// answer reads one answer completely.
func (s *testClient) answer(t *testing.T) (*testAnswer, string) {
	t.Helper()
	r, body, err := readAnswer(s.reader)
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

// keyedSettings is testSettings with a deduplicated class, load reports in answers and health checks.
var keyedSettings = strings.NewReplacer(
	`"effect":"at_most_once"`, `"effect":"deduplicated","dedupScope":"cell","keyTtl":5000000000`,
	`"bounds":{`, `"report":{"how":"answers","names":["backlog","x0"]},"bounds":{"probes":true,`,
).Replace(testSettings)

// startKeyed runs a scheduler with keyedSettings.
func startKeyed(t *testing.T, workers ...*testWorker) (*Platform, *counters.Set) {
	return startWithSettings(t, keyedSettings, 256, "", workers...)
}
