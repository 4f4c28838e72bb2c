package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = upgrade }

// Figures of the case upgrade. The deployment has 256 descriptors, of which clients hold a third at most for requests.
const (
	upgradeSockets  = 256
	longJobs        = 72                      // ratify jobs that are open when the second process is started
	longRun         = 5 * time.Second         // running time of a ratify job; its client waits 25 s
	readingEvery    = 100 * time.Millisecond  // between two readings
	readings        = 20                      // in the 2 s from the start of the second process on
	readingWait     = 2 * time.Second         // for an answer, as the class says in these settings
	lateAnswer      = 500 * time.Millisecond  // after its time, in which an answer only earns nothing
	discoveryDelay  = time.Second             // of each answer of discovery, which has other callers
	killAfter       = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	readyLimit      = 6 * time.Second         // in which the second process owes its yes
	upgradeEndLimit = 40 * time.Second        // for the last answer
)

// upgrade: clients wait for long jobs when the platform replaces the scheduler's process. Readings that are sent on
// new connections meanwhile have to get their answers in time.
func upgrade(p *play) int {
	service := map[string]time.Duration{"reading": 300 * time.Millisecond, "ratify": longRun}
	var hosts []host
	for i := range 20 {
		hosts = append(hosts, newWorker(fmt.Sprintf("s-%08x", i+1), p.record, service).host())
	}
	d := newDiscovery(hosts, discoveryDelay)
	listenAt, admins, config := freeAddress(), []string{freeAddress(), freeAddress()}, p.directory+"/config.json"
	temporary := p.directory + "/tmp"
	if err := os.Mkdir(temporary, 0o700); err != nil {
		fatal("%v", err)
	}
	writeJSON(config, map[string]any{
		"name": "n1", "listen": listenAt, "admin": admins[0], "discovery": d.address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": upgradeSockets},
		"known":    map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": settings(readingWait),
	})
	start := func(i int) *process {
		return startScheduler(fmt.Sprintf("process-%d", i+1), p, "LB_CONFIG="+config, "LB_NAME=n1",
			"LB_LISTEN="+listenAt, "LB_ADMIN="+admins[i], "LB_DISCOVERY="+d.address(), "TMPDIR="+temporary)
	}
	first := start(0)
	awaitStatus(listenAt, "/_health", 20*time.Second)
	p.record.add("the first process is ready")

	var wg sync.WaitGroup
	var mu sync.Mutex
	late, turnedBack, answered := 0, 0, 0 // readings
	send := func(class, id string, remaining time.Duration) {
		c, err := net.DialTimeout("tcp", listenAt, 3*time.Second)
		if err != nil {
			p.record.add("no connection for %s: %v", id, err)
			return
		}
		_, err = fmt.Fprint(c, request(class, id, remaining, "station 7"))
		sentAt := time.Now()
		p.record.add("sent %s, its client waits %v (%v)", id, remaining, err)
		wg.Go(func() {
			defer c.Close()
			r := await(c, bufio.NewReader(c), id, sentAt, remaining+4*time.Second)
			p.record.add("%v", r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case class != "reading":
			case r.status == 0:
				turnedBack++ // a connection that is closed or left unread in an upgrade is priced, and no break
			case r.took > remaining+lateAnswer:
				p.record.add("BROKEN: the final answer to %s came over %v after its time", id, lateAnswer)
				late++
			default:
				answered++
			}
		})
	}
	for i := range longJobs {
		send("ratify", fmt.Sprintf("ratify-%d", i), 25*time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	var second *process
	if p.trouble {
		second = start(1)
		p.record.add("the second process is started")
	}
	startedAt := time.Now()
	for i := range readings {
		send("reading", fmt.Sprintf("reading-%d", i), readingWait)
		time.Sleep(readingEvery)
	}
	if p.trouble {
		awaitStatus(admins[1], "/admin/health", readyLimit+2*time.Second)
		p.record.add("the second process says yes %.2f s after its start; SIGTERM to the first", time.Since(startedAt).Seconds())
		first.signal(syscall.SIGTERM)
		time.AfterFunc(killAfter, func() {
			p.record.add("%v after SIGTERM; the first process has ended: %v; SIGKILL", killAfter, first.exited())
			first.signal(syscall.SIGKILL)
		})
	}
	finished := make(chan struct{})
	go func() {
		wg.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(upgradeEndLimit):
		fatal("the clients have not ended")
	}
	if second != nil && second.exited() {
		p.record.add("BROKEN: the second process has ended")
		return broken
	}
	p.record.add("of %d readings %d were answered in time, %d were turned back unheard, %d were answered too late",
		readings, answered, turnedBack, late)
	if late > 0 {
		return broken
	}
	return held
}
