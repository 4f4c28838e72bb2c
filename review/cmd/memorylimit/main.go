// Command memorylimit plays bad clients that send hundreds of requests at once, at full speed, and again the moment
// they are turned away, and a platform that kills a scheduler over its memory limit.
package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/rig"
)

const (
	memoryMB    = 72  // of 32 to 192; the bench prints these two for days of this site
	sockets     = 608 // of 256 to 1,024
	badClients  = 180 // connections; with the usual clients' under a third of the descriptors
	goodClients = 20  // connections
	bodyBytes   = 64 << 10
	workers     = 3
	slots, room = 32, 32
	calm        = 5 * time.Second  // before the bad clients come
	length      = 60 * time.Second // at most; the run ends with the scheduler
	pace        = 500 * time.Millisecond
)

func main() { os.Exit(rig.Main(115*time.Second, play)) }

// memory returns the resident memory of a process in kB: all of it, and without the pages of files.
func memory(pid int) (all, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			all, _ = strconv.Atoi(fields[1])
		case "RssAnon:":
			anonymous, _ = strconv.Atoi(fields[1])
		}
	}
	return all, anonymous
}

func descriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// A tally counts answers by status; 0 is no whole answer.
type tally struct {
	mu     sync.Mutex
	counts map[int]int
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[status]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}

func play(env *rig.Env, trouble bool) (broken bool, err error) {
	discovery, err := rig.StartDiscovery("127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	runs := rig.NewRuns()
	for i := range workers {
		w := rig.NewPlainWorker(fmt.Sprintf("w%d", i+1), slots, room, env.Record, runs, func(class string) time.Duration {
			if class == "ratify" {
				return 200 * time.Millisecond
			}
			return 50 * time.Millisecond
		})
		w.Quiet = true
		s, err := rig.StartServer("127.0.0.1:0", w.Handle)
		if err != nil {
			return false, err
		}
		defer s.Close()
		discovery.Put(rig.Host{Host: w.Name, Dial: s.Addr, Site: "stirling", Class: "large", Health: "active", Share: 1})
	}
	listen, err := rig.FreeAddr()
	if err != nil {
		return false, err
	}
	config, err := env.WriteConfig("n1", func(c, _ map[string]any) {
		c["name"], c["listen"], c["discovery"], c["known"] = "n1", listen, discovery.Addr, discovery.List()
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	})
	if err != nil {
		return false, err
	}
	p, err := env.Start("n1", listen, config, "LB_DISCOVERY="+discovery.Addr)
	if err != nil {
		return false, err
	}
	if err := rig.AwaitReady(listen, "/_health", 20*time.Second); err != nil {
		return false, err
	}
	return judge(env, p, trouble), nil
}

// judge sends the load, keeps the memory limit as the platform does, and tells whether the scheduler has crashed.
func judge(env *rig.Env, p *rig.Process, trouble bool) (broken bool) {
	begun := time.Now()
	var stop atomic.Bool
	var wg sync.WaitGroup
	good, bad := &tally{counts: map[int]int{}}, &tally{counts: map[int]int{}}
	for i := range goodClients {
		wg.Go(func() { usual(env, p.Listen, i, &stop, good) })
	}
	if trouble {
		time.AfterFunc(calm, func() {
			env.Record.Say("%d bad clients come", badClients)
			for i := range badClients {
				wg.Go(func() { flood(p.Listen, i, &stop, bad) })
			}
		})
	}
	killed, highest, next := false, 0, begun
	for time.Since(begun) < length && !p.Exited() {
		all, anonymous := memory(p.Pid())
		highest = max(highest, anonymous)
		if now := time.Now(); now.After(next) {
			next = now.Add(time.Second)
			env.Record.Note("n1: resident %d kB, of it anonymous %d kB, %d descriptors; usual clients %v, bad ones %v",
				all, anonymous, descriptors(p.Pid()), good, bad)
		}
		if anonymous > memoryMB<<10 {
			env.Record.Say("platform: n1 has %d kB of anonymous memory (%d kB with pages of files), over %d MB: killed",
				anonymous, all, memoryMB)
			killed = true
			p.Signal(syscall.SIGKILL)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if killed {
		p.Wait(5 * time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	stop.Store(true)
	crashed := p.Exited()
	wg.Wait()
	if crashed && !killed {
		env.Record.Say("n1 ended by itself:\n%s", env.Log("n1", 5))
	}
	env.Record.Say("usual clients' jobs by status %v (0: no answer), bad clients' %v, most anonymous memory %d kB, crashed %v",
		good, bad, highest, crashed)
	if crashed {
		env.Record.Say("broken: the scheduler was killed for memory; %d jobs of usual clients had no answer", good.counts[0])
	}
	return crashed
}

// usual sends the jobs of one usual client, one at a time.
func usual(env *rig.Env, addr string, number int, stop *atomic.Bool, t *tally) {
	client := &rig.Client{Addr: addr}
	for k := 0; !stop.Load(); k++ {
		time.Sleep(pace)
		if stop.Load() {
			return
		}
		j := &rig.Job{ID: fmt.Sprintf("u%d-%d", number, k), Class: "reading", Tenant: "islands", Remaining: 5 * time.Second,
			Body: bytes.Repeat([]byte("7"), bodyBytes)}
		if number%4 == 0 {
			j.Class, j.Remaining = "ratify", 25*time.Second
		}
		a := client.Do(j)
		t.add(a.Status)
		if a.Status == 0 {
			env.Record.Note("client: %s (%s) has no answer: %v", j.ID, j.Class, a.Err)
		}
	}
}

// flood sends at full speed, and again the moment it is answered.
func flood(addr string, number int, stop *atomic.Bool, t *tally) {
	client := &rig.Client{Addr: addr}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	for k := 0; !stop.Load(); k++ {
		a := client.Do(&rig.Job{ID: fmt.Sprintf("b%d-%d", number, k), Class: "reading", Tenant: "central-belt",
			Remaining: 5 * time.Second, Body: body})
		t.add(a.Status)
		if a.Status == 0 {
			return
		}
	}
}
