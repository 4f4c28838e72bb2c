package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["crowd"] = crowd }

// Figures of the case crowd.
const (
	crowdSockets = 128                    // descriptors, halved from 256
	crowdSize    = 2000                   // clients that connect and stop half way
	soundClients = 20                     // a third of the descriptors is 42
	soundEvery   = 100 * time.Millisecond // between two requests
	soundWait    = 5 * time.Second        // for an answer, as the class says
)

// crowd: a crowd of clients connects and stops in the middle of a request. Sound clients that come after it have to get
// an answer in time, or to have their connections shut unread.
func crowd(p *play) int {
	service := map[string]time.Duration{"reading": 300 * time.Millisecond, "ratify": 1500 * time.Millisecond}
	var hosts []host
	for i := range 6 {
		hosts = append(hosts, newWorker(fmt.Sprintf("s-%08x", i+1), p.record, service).host())
	}
	d := newDiscovery(hosts, 0)
	listenAt, config := freeAddress(), p.directory+"/config.json"
	writeJSON(config, map[string]any{
		"name": "n1", "listen": listenAt, "discovery": d.address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": crowdSockets},
		"known":    map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": settings(soundWait),
	})
	process := startScheduler("scheduler", p, "LB_CONFIG="+config, "LB_NAME=n1", "LB_LISTEN="+listenAt,
		"LB_DISCOVERY="+d.address())
	awaitStatus(listenAt, "/_health", 20*time.Second)
	p.record.add("the scheduler is ready")

	if p.trouble {
		for i := range crowdSize {
			c, err := net.DialTimeout("tcp", listenAt, 900*time.Millisecond) // shorter than a SYN's first repeat
			if err != nil {
				fatal("the machine does not take a crowd of %d: connection %d: %v", crowdSize, i, err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /reading HTTP/1.1\r\nHost: app.svc\r\nX-Txn: half-%d\r\nX-La", i)
		}
		p.record.add("a crowd of %d has connected and sent half a request each", crowdSize)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	late, shut, answered := 0, 0, 0
	for i := range soundClients {
		id := fmt.Sprintf("sound-%d", i)
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", listenAt, 900*time.Millisecond)
			if err != nil {
				p.record.add("no connection for %s: %v", id, err)
				return
			}
			defer c.Close()
			_, err = fmt.Fprint(c, request("reading", id, soundWait, "station 7"))
			sentAt := time.Now()
			p.record.add("sent %s, its client waits %v (%v)", id, soundWait, err)
			r := await(c, bufio.NewReader(c), id, sentAt, soundWait+10*time.Second)
			p.record.add("%v", r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.took > soundWait+lateAnswer:
				p.record.add("BROKEN: %s has no final answer %v after its time", id, lateAnswer)
				late++
			case r.ended:
				shut++ // new connections may be shut unread
			default:
				answered++
			}
		})
		time.Sleep(soundEvery)
	}
	wg.Wait()
	if process.exited() {
		p.record.add("BROKEN: the scheduler has ended")
		return broken
	}
	p.record.add("of %d requests %d were answered in time, %d were shut unread, %d had no final answer in time",
		soundClients, answered, shut, late)
	if late > 0 {
		return broken
	}
	return held
}
