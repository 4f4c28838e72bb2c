package daemon

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// Scenarios over real sockets: the fuzzer's bytes are a script of faults between
// submitters, a real scheduler and stand-in nodes; the nodes' logs are the oracle.

const scenarioSettings = `{"discovery":"subscribe","dcs":["a"],"zone":"a","flavors":["k"],
 "grades":[{"name":"reading","aim":200000000,"deadline":600000000,"effect":"idempotent"},
  {"name":"ratify","aim":200000000,"deadline":600000000,"effect":"at_most_once"}],
 "projects":[{"name":"t","quotaRps":1000}],
 "bounds":{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000000,"maxAttempts":3,"connIdle":30000000000,"connectTimeout":500000000},
 "familyInfo":{"tellsStart":true},"obligations":{"mustAskIn":10000000000}}`

// What may happen to what goes to a node: its own requests a network does not make
// twice or turn round. What a node or a submitter sends may be anything.
var faultsTowardsWorkers = []standin.Fault{standin.Pass, standin.Pass, standin.Pass, standin.Delay, standin.Split, standin.Truncate, standin.Reset, standin.CloseHalf}

func drawFaults(rng *rand.Rand, n int, of []standin.Fault) (script []standin.Fault) {
	for range n {
		if of != nil {
			script = append(script, of[rng.IntN(len(of))])
		} else if f := standin.Fault(rng.IntN(2 * int(standin.Faults))); f < standin.Faults {
			script = append(script, f)
		} else {
			script = append(script, standin.Pass)
		}
	}
	return script
}

// playScenario plays the faults that a seed draws and returns what is broken.
func playScenario(t testing.TB, seed uint64) (broken []string) {
	rng := rand.New(rand.NewPCG(seed, 77))
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	settings, err := config.ParseSettings([]byte(scenarioSettings))
	must(err)
	settings.Module.PollEndpoints = true
	var nodes []*standin.Worker
	for i := range 3 {
		n, err := standin.StartNode(fmt.Sprint("n", i), "a", "k", 2, 4, func(string) time.Duration { return 2 * time.Millisecond })
		must(err)
		defer n.Crash()
		p, err := standin.StartProxy(n.Addr(), drawFaults(rng, 12, faultsTowardsWorkers), drawFaults(rng, 12, nil))
		must(err)
		defer p.Stop()
		n.Via = p.Addr().String()
		if rng.IntN(5) == 0 {
			n.Behave(standin.Behaviour{CutAfter: 1 + rng.IntN(200)})
		}
		nodes = append(nodes, n)
	}
	list, err := standin.StartDiscovery(nodes...)
	must(err)
	defer func() { list.Close(); list.Reset() }()
	d, err := StartWith(Options{Log: zap.NewNop()}, &config.Scheduler{
		Listen: "127.0.0.1:0", Discovery: list.Addr().String(), Seed: seed, Sockets: 128, Known: list.Known(), Settings: settings,
	}, &config.Operator{})
	must(err)
	defer d.Kill()
	front, err := standin.StartProxy(d.Addr().String(), drawFaults(rng, 16, nil), drawFaults(rng, 8, []standin.Fault{standin.Pass, standin.Delay, standin.Split}))
	must(err)
	defer front.Stop()
	for !d.Core.Ready() {
		time.Sleep(time.Millisecond)
	}
	type answer struct {
		id, class, body string
		status          int
	}
	var mu sync.Mutex
	var answers []answer
	var wait sync.WaitGroup
	for s := range 3 {
		wait.Go(func() {
			var c net.Conn
			var br *bufio.Reader
			var err error
			for i := range 5 {
				if c == nil {
					if c, err = net.Dial("tcp", front.Addr().String()); err != nil {
						return
					}
					br = bufio.NewReader(c)
				}
				id, class := fmt.Sprintf("j-%d-%d-%d", seed, s, i), []string{"reading", "ratify"}[(s+i)%2]
				c.SetDeadline(time.Now().Add(3500 * time.Millisecond)) // a bad request has its end within 3 s
				fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: t\r\nX-Remaining: 400m\r\nContent-Length: 4\r\n\r\nbody", class, id, class)
				r, err := http.ReadResponse(br, nil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(r.Body)
				}
				if e, ok := err.(net.Error); ok && e.Timeout() {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("%s: neither an answer nor an end", id))
					mu.Unlock()
				}
				if err != nil || r.Close {
					c.Close()
					c = nil
				}
				if err == nil {
					mu.Lock()
					answers = append(answers, answer{id, class, string(body), r.StatusCode})
					mu.Unlock()
				}
			}
			if c != nil {
				c.Close()
			}
		})
	}
	wait.Wait()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		taken := d.Counters.Get("jobs.taken")
		if taken == d.Counters.Get("jobs.served")+d.Counters.Get("jobs.refused")+d.Counters.Get("jobs.failed") {
			break
		}
		if time.Now().After(end) {
			broken = append(broken, fmt.Sprintf("%d jobs taken, not as many answered: %v", taken, d.Counters.All()))
			break
		}
	}
	runs := map[string]int{}
	for _, n := range nodes {
		for id, k := range n.Runs() {
			runs[id] += k
			if !strings.HasPrefix(id, "j-") { // garbage went through as a job
				broken = append(broken, fmt.Sprintf("a job with the id %q ran", id))
			}
		}
	}
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK && !strings.HasPrefix(a.body, "j-"):
			broken = append(broken, fmt.Sprintf("%s: served with %q", a.id, a.body))
		case a.status == http.StatusOK && runs[strings.Fields(a.body)[0]] == 0:
			broken = append(broken, fmt.Sprintf("%s: served with %q, which never ran", a.id, a.body))
		}
	}
	for id, k := range runs {
		// Which class a job was that came garbled only the nodes know; ids tell it here.
		var s, i int
		if _, err := fmt.Sscanf(id, fmt.Sprintf("j-%d-%%d-%%d", seed), &s, &i); err == nil && (s+i)%2 == 1 && k > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, k))
		}
	}
	return broken
}

func TestScenarios(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, b := range playScenario(t, seed) {
				t.Error(b)
			}
		})
	}
}

func FuzzScenario(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		for _, b := range playScenario(t, seed) {
			t.Error(b)
		}
	})
}
