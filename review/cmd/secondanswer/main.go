// Command secondanswer plays workers that now and then give a turned-away answer a second time, some milliseconds
// late, and looks for jobs that must not run twice and did.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	length      = 80 * time.Second
	workers     = 2
	slots       = 2
	room        = 2                     // jobs that wait at a worker
	secondShare = 0.5                   // of the turned-away answers that come twice
	secondAfter = 12 * time.Millisecond // how late the second one comes
	readingTime = 10 * time.Millisecond
	ratifyTime  = 12 * time.Millisecond
	rate        = 60.0  // jobs a second of the clients
	othersRate  = 220.0 // jobs a second that other schedulers send to each worker
	ratifyShare = 0.28
)

func main() { os.Exit(rig.Main(115*time.Second, play)) }

// A worker has slots and a short waiting room, which it shares among this scheduler's jobs and those of others. It
// answers a job when it starts it, or turns it away at once.
type worker struct {
	name    string
	record  *rig.Record
	runs    *rig.Runs
	trouble bool
	slots   chan struct{}
	room    chan struct{}

	lines   sync.Map // of *line by net.Conn
	away    atomic.Int64
	seconds atomic.Int64
}

// A line is the state of a connection.
type line struct {
	mu    sync.Mutex
	begun int // answers that have begun on it
}

func (w *worker) handle(c net.Conn, r *rig.Request) bool {
	stored, _ := w.lines.LoadOrStore(c, &line{})
	l := stored.(*line)
	w.record.Note("%s: has read %s (%s) from %s", w.name, r.ID, r.Class, c.RemoteAddr())
	select {
	case w.room <- struct{}{}:
	default:
		return w.turnAway(c, l, r)
	}
	defer func() { <-w.room }()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.runs.Add(r.ID, w.name)
	w.record.Note("%s: runs %s (%s)", w.name, r.ID, r.Class)
	l.mu.Lock()
	l.begun++
	alive := rig.WriteHead(c) && rig.WriteState(c, false, r.ID, w.name, "started", "")
	l.mu.Unlock()
	time.Sleep(duration(r.Class))
	return alive && rig.WriteState(c, true, r.ID, w.name, "done", "result of "+r.ID)
}

func duration(class string) time.Duration {
	if class == "ratify" {
		return ratifyTime
	}
	return readingTime
}

// turnAway turns a job away, and with the trouble says so once more on the same connection, unless the next answer has
// begun there.
func (w *worker) turnAway(c net.Conn, l *line, r *rig.Request) bool {
	w.away.Add(1)
	l.mu.Lock()
	l.begun++
	number := l.begun
	_, err := io.WriteString(c, rig.TurnedAway)
	l.mu.Unlock()
	w.record.Note("%s: turns %s away", w.name, r.ID)
	if err == nil && w.trouble && rand.Float64() < secondShare {
		time.AfterFunc(secondAfter, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.begun != number {
				return
			}
			w.seconds.Add(1)
			w.record.Note("%s: says once more to %s that %s is turned away", w.name, c.RemoteAddr(), r.ID)
			_, _ = io.WriteString(c, rig.TurnedAway)
		})
	}
	return err == nil
}

// others plays the jobs that other schedulers send to the worker, until stop is closed.
func (w *worker) others(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / othersRate * float64(time.Second))):
		}
		select {
		case w.room <- struct{}{}:
			go func() {
				defer func() { <-w.room }()
				w.slots <- struct{}{}
				defer func() { <-w.slots }()
				time.Sleep(readingTime)
			}()
		default:
		}
	}
}

func play(env *rig.Env, trouble bool) (broken bool, err error) {
	discovery, err := rig.StartDiscovery("127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	stop := make(chan struct{})
	defer close(stop)
	runs := rig.NewRuns()
	all := make([]*worker, workers)
	for i := range all {
		w := &worker{
			name: fmt.Sprintf("w%d", i+1), record: env.Record, runs: runs, trouble: trouble,
			slots: make(chan struct{}, slots), room: make(chan struct{}, slots+room),
		}
		all[i] = w
		s, err := rig.StartServer("127.0.0.1:0", w.handle)
		if err != nil {
			return false, err
		}
		defer s.Close()
		go w.others(stop)
		discovery.Put(rig.Host{Host: w.name, Dial: s.Addr, Site: "stirling", Class: "medium", Health: "active", Share: 1})
	}
	listen, err := rig.FreeAddr()
	if err != nil {
		return false, err
	}
	config, err := env.WriteConfig("n1", func(c, s map[string]any) {
		c["name"], c["listen"], c["discovery"], c["known"] = "n1", listen, discovery.Addr, discovery.List()
		s["balancers"] = 3
	})
	if err != nil {
		return false, err
	}
	if _, err := env.Start("n1", listen, config, "LB_DISCOVERY="+discovery.Addr); err != nil {
		return false, err
	}
	if err := rig.AwaitReady(listen, "/_health", 20*time.Second); err != nil {
		return false, err
	}
	statuses := load(env, &rig.Client{Addr: listen})
	twice := 0
	for id, by := range runs.All() {
		if id[0] == 'a' && len(by) > 1 {
			twice++
			env.Record.Say("broken: %s (ratify, at_most_once) has run %d times, at %v", id, len(by), by)
		}
	}
	env.Record.Say("jobs by status %v, turned away %d, said twice %d, at-most-once jobs that ran twice %d", statuses,
		all[0].away.Load()+all[1].away.Load(), all[0].seconds.Load()+all[1].seconds.Load(), twice)
	return twice > 0, nil
}

// load sends jobs at random times and returns the number of answers by status.
func load(env *rig.Env, client *rig.Client) map[int]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		j := &rig.Job{
			ID: fmt.Sprintf("r%05d", n), Class: "reading", Tenant: "islands", Remaining: 5 * time.Second, Body: []byte("station 7"),
		}
		if rand.Float64() < ratifyShare {
			j.ID, j.Class, j.Remaining = fmt.Sprintf("a%05d", n), "ratify", 10*time.Second
		}
		if n%2 == 0 {
			j.Tenant = "central-belt"
		}
		wg.Go(func() {
			env.Record.Note("client: sends %s (%s)", j.ID, j.Class)
			a := client.Do(j)
			env.Record.Note("client: %s answered %d %q %v", j.ID, a.Status, a.Body, a.Err)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.Status]++
		})
	}
	wg.Wait()
	return statuses
}
