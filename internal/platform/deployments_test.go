package platform

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// keyedSettings is the toy deployment with a keyed class, load reports and messages.
var keyedSettings = strings.NewReplacer(
	`"effect":"at_most_once"`, `"effect":"deduplicated","dedupScope":"cell","keyTtl":5000000000`,
	`"bounds":{`, `"report":{"how":"answers","names":["backlog","x0"]},"bounds":{"probes":true,`,
).Replace(testSettings)

func startKeyed(t *testing.T, nodes ...*testWorker) (*Platform, *counters.Set) {
	return startText(t, keyedSettings, 256, "", nodes...)
}

// A keyed job's key reaches the node as it came, also one of a class that needs none; where
// the class needs one, a job without is bad input and reaches no node.
func TestIdempotencyKeysAreForwarded(t *testing.T) {
	var mu sync.Mutex
	var keys []string
	node := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		mu.Lock()
		keys = append(keys, strings.Join(r.Header[headerKey], "+"))
		mu.Unlock()
		return writeStates(c, id, true, `"started"`, `"done","result":"r","load":{"backlog":0,"x0":1.5}`)
	})
	p, set := startKeyed(t, node)
	s := connect(t, p)
	for i, c := range []struct {
		class, key string
		status     int
	}{{"ratify", "5c0f6e1a", 200}, {"reading", "k-2", 200}, {"reading", "", 200}, {"ratify", "", 400}} {
		var more []string
		if c.key != "" {
			more = append(more, headerKey+": "+c.key)
		}
		r, _ := s.request(t, jobText(c.class, fmt.Sprint("j", i), "5000m", "b", more...))
		check(t, c.class+" with "+c.key, r.StatusCode, c.status)
	}
	mu.Lock()
	defer mu.Unlock()
	check(t, "keys at the node", fmt.Sprint(keys), "[5c0f6e1a k-2 ]")
	check(t, "bad jobs", set.Get("bad.job"), int64(1))
	check(t, "faulty reports", set.Get("loads.faulty"), int64(0))
}

// A node that blames requests is no worse for it: the next job goes there as before, and
// the blamed one is not tried elsewhere.
func TestInvalidJobsDoNotBlameTheWorker(t *testing.T) {
	node := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		if strings.HasPrefix(id, "bad") {
			_, err := fmt.Fprint(c, "HTTP/1.1 400 No\r\nX-Pressure: backlog=0,x0=1,x0=1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		return serveJob(c, r, id)
	})
	p, set := startKeyed(t, node)
	s := connect(t, p)
	for i := range 12 {
		key := headerKey + ": k"
		r, _ := s.request(t, jobText("ratify", fmt.Sprint("bad", i), "5000m", "b", key))
		check(t, "blamed", r.StatusCode, http.StatusBadGateway)
		r, _ = s.request(t, jobText("ratify", fmt.Sprint("good", i), "5000m", "b", key))
		check(t, "the next", r.StatusCode, http.StatusOK)
	}
	check(t, "claims", set.Get("claims.sent"), int64(24))
	check(t, "blamed", set.Get("claims.blamed"), int64(12))
	check(t, "faulty reports", set.Get("loads.faulty"), int64(12))
}

// A keyed job whose connection breaks goes on only to a node of the same pod.
func TestRetriesStayInTheGroup(t *testing.T) {
	var mu sync.Mutex
	ran := map[string][]string{}
	node := func(name string) *testWorker {
		return newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
			mu.Lock()
			ran[id] = append(ran[id], name)
			first := len(ran[id]) == 1
			mu.Unlock()
			if first {
				return false
			}
			return serveJob(c, r, id)
		})
	}
	nodes := []*testWorker{node("a0"), node("a1"), node("b0")}
	p, _ := startKeyed(t, nodes...)
	list := []string{endpointJSON(0, nodes[0], healthActive), endpointJSON(1, nodes[1], healthActive), strings.Replace(endpointJSON(2, nodes[2], healthActive), `"block":0`, `"block":1`, 1)}
	l, err := parseEndpoints([]byte(`{"seq":2,"whole":true,"hosts":[` + strings.Join(list, ",") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	p.endpoints.mu.Lock()
	workers := p.endpoints.applyLocked(l)
	p.endpoints.mu.Unlock()
	p.core.UpdateEndpoints(0, workers)
	s := connect(t, p)
	for i := range 30 {
		id := fmt.Sprint("j", i)
		s.request(t, jobText("ratify", id, "900m", "b", headerKey+": "+id))
		mu.Lock()
		if pods := ran[id]; len(pods) > 1 && slices.ContainsFunc(pods, func(n string) bool { return n[0] != pods[0][0] }) {
			t.Errorf("%s ran on %v", id, pods)
		}
		mu.Unlock()
	}
}

// Where lists are pushed the first call is made at once, whatever the number of schedulers.
func TestPushedEndpointsArePolledAtOnce(t *testing.T) {
	for how, spread := range map[string]bool{"subscribe": true, "automatic": false} {
		s, err := config.ParseSettings([]byte(strings.NewReplacer(`"balancers":1`, `"balancers":900`, `"subscribe"`, `"`+how+`"`).Replace(testSettings)))
		if err != nil {
			t.Fatal(err)
		}
		s.Module.MaxPollInterval = int64(time.Minute)
		longest := time.Duration(0)
		for range 20 {
			longest = max(longest, newEndpointWatch("", s, nil, zap.NewNop()).pacer.InitialDelay())
		}
		if longest > 0 != spread {
			t.Errorf("%s: the first call waits up to %v", how, longest)
		}
	}
}

// Of 300 schedulers one whose watch falls silent asks anew in seconds, on a new connection, and
// goes on from the version that it has: what it missed it is held to soon.
func TestSilentWatchIsPolledAnew(t *testing.T) {
	t.Parallel()
	node := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	settings := strings.Replace(testSettings, `"balancers":1`, `"balancers":300`, 1)
	_, set := startText(t, settings, 256, addr, node)
	first := next(t, calls)
	first.answer(endpointsJSON(7, true, node))
	silent := next(t, calls)
	again := next(t, calls) // within 20 s; it was 56
	if again.conn == silent.conn || !strings.HasPrefix(again.target, pathMembers+"?index=7&wait=") {
		t.Errorf("%s on the same connection", again.target)
	}
	check(t, "failed", set.Get("machines.failed"), int64(1))
}

// What comes from a stranger, is too long, garbled, late, doubled or one of a flood is counted
// and goes no further; what a peer says does, in any order.
func TestPeerDatagrams(t *testing.T) {
	open := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger, clock, set := open(), open(), core.NewClock(), &counters.Set{}
	heard := make(chan string, 1000)
	p, err := newPeers(config.Peers{Listen: "127.0.0.1:0", Each: []string{"127.0.0.1:9", peer.LocalAddr().String()}}, 0, clock, set,
		func(from int, data []byte) { heard <- fmt.Sprint(from, string(data)) })
	if err != nil {
		t.Fatal(err)
	}
	if err := p.open(false); err != nil {
		t.Fatal(err)
	}
	defer p.stop()
	to := p.conn.LocalAddr()
	now := func() int64 { return clock.Now() / 1000 }
	say := func(from *net.UDPConn, b []byte) {
		if _, err := from.WriteTo(b, to); err != nil {
			t.Fatal(err)
		}
	}
	at := now()
	second, first := sealPeer(at, []byte("second")), sealPeer(at-5000, []byte("first"))
	say(stranger, second)
	say(peer, second)
	say(peer, first)
	say(peer, second)
	say(peer, append(slices.Clone(second), make([]byte, maxPeerDatagram)...))
	say(peer, sealPeer(at-2*maxPeerAge, []byte("old")))
	say(peer, sealPeer(at+2*maxPeerAge, []byte("of the future")))
	for i := range second {
		b := slices.Clone(second)
		b[i] ^= 0x10
		say(peer, b)
		say(peer, b[:i])
	}
	say(peer, sealPeer(at+1, []byte("last")))
	for _, want := range []string{"1second", "1first", "1last"} {
		select {
		case got := <-heard:
			check(t, "heard", got, want)
		case <-time.After(patience):
			t.Fatal("nothing is heard")
		}
	}
	for name, want := range map[string]int64{"stranger": 1, "doubled": 1, "late": 1, "garbled": 2 + 2*int64(len(second)), "heard": 3} {
		check(t, name, set.Get("peers."+name), want)
	}
	seen := peerReceiver{updatedAt: at}
	passed := 0
	for i := range 10000 { // in 10 ms
		if _, err := seen.open(at+int64(i), sealPeer(at+int64(i), nil)); err == nil {
			passed++
		}
	}
	if passed > peerRate/50 {
		t.Errorf("%d of a flood of 10,000 pass", passed)
	}
	if p.Send(1, make([]byte, maxPeerDatagram)); set.Get("peers.too_long") != 1 {
		t.Error("a message that is too long is sent")
	}
	p.Send(-1, []byte("to all"))
	b := make([]byte, 2*maxPeerDatagram)
	peer.SetReadDeadline(time.Now().Add(patience))
	if n, err := peer.Read(b); err != nil || n != len("to all")+peerFrame {
		t.Errorf("%d bytes, %v", n, err)
	}
}
