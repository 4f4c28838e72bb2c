package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reloads"] = reloads }

// Figures of the case reloads.
const (
	reloadDelay = 2200 * time.Millisecond // for which a call to discovery waits for its turn; discovery refuses after 3 s
	reloadEvery = 3 * time.Second         // between two new configurations
	reloadCount = 3
	oldCloses   = 1500 * time.Millisecond // after a new configuration the old address closes its connections
	drainAfter  = 300 * time.Millisecond  // from the first new configuration until the worker begins to drain

	toldWithin = 6 * time.Second         // after discovery had a change and could be reached, it counts as told
	drainGrace = 750 * time.Millisecond  // of the settings
	socketTime = 50 * time.Millisecond   // by which each limit is longer on sockets
	heldUp     = 150 * time.Millisecond  // for which a scheduler may be held up
	workerEnds = 8500 * time.Millisecond // after it began to drain: all that it may get by the rules has ended by then
	loadLength = 12 * time.Second
	jobEvery   = 40 * time.Millisecond
)

// reloads: new configurations move discovery three times in a row, and a worker begins to drain soon after the first. It
// ends when all that it may get by the rules has ended. Nothing new may be sent to it once its drain counts as told.
func reloads(p *play) int {
	service := map[string]time.Duration{"reading": 200 * time.Millisecond, "ratify": 1200 * time.Millisecond}
	var workers []*worker
	var hosts []host
	for i := range 4 {
		workers = append(workers, newWorker(fmt.Sprintf("s-%08x", i+1), p.record, service))
		hosts = append(hosts, workers[i].host())
	}
	d := newDiscovery(hosts, reloadDelay)
	listenAt, config := freeAddress(), p.directory+"/config.json"
	write := func() {
		writeJSON(config, map[string]any{
			"name": "n1", "listen": listenAt, "discovery": d.address(), "seed": "8c1f30d27a5be964",
			"limits":   map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512},
			"known":    map[string]any{"seq": 1, "whole": true, "hosts": hosts},
			"settings": settings(5 * time.Second),
		})
	}
	write()
	scheduler := startScheduler("scheduler", p, "LB_CONFIG="+config, "LB_NAME=n1", "LB_LISTEN="+listenAt)
	awaitStatus(listenAt, "/_health", 20*time.Second)
	p.record.add("the scheduler is ready")
	time.Sleep(3 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]reply{}
	stop := time.Now().Add(loadLength)
	wg.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			class, remaining := "reading", 5*time.Second
			if i%3 == 0 {
				class, remaining = "ratify", 25*time.Second
			}
			id := fmt.Sprintf("%s-%d", class, i)
			wg.Go(func() {
				c, err := net.DialTimeout("tcp", listenAt, 3*time.Second)
				if err != nil {
					p.record.add("no connection for %s: %v", id, err)
					return
				}
				defer c.Close()
				_, err = fmt.Fprint(c, request(class, id, remaining, "station 7"))
				sentAt := time.Now()
				p.record.add("sent %s (%v)", id, err)
				r := await(c, bufio.NewReader(c), id, sentAt, remaining+time.Second)
				p.record.add("%v", r)
				mu.Lock()
				defer mu.Unlock()
				replies[id] = r
			})
			time.Sleep(jobEvery)
		}
	})
	time.Sleep(200 * time.Millisecond)
	drained := hosts[0]
	drained.Health = "leaving"
	var changedAt time.Time
	reloading := time.Now()
	for i := range reloadCount {
		time.Sleep(time.Until(reloading.Add(time.Duration(i) * reloadEvery)))
		if p.trouble {
			leave := d.move(oldCloses)
			write()
			p.record.add("a new configuration names discovery at %s; SIGHUP", d.address())
			scheduler.signal(syscall.SIGHUP)
			leave()
		}
		if i > 0 {
			continue
		}
		time.Sleep(drainAfter)
		d.put(drained)
		changedAt = time.Now()
		p.record.add("discovery has %s as leaving", drained.Host)
		wg.Go(func() {
			time.Sleep(workerEnds)
			left := drained
			left.Health = "left"
			d.put(left)
			workers[0].end()
			p.record.add("%s has ended", drained.Host)
		})
	}
	wg.Wait()
	if scheduler.exited() {
		p.record.add("BROKEN: the scheduler has ended")
		return broken
	}
	late, failed := 0, 0
	limit := toldWithin + drainGrace + socketTime + heldUp
	for _, a := range workers[0].arrivals() {
		after := a.firstByte.Sub(changedAt)
		if after <= limit {
			continue
		}
		late++
		p.record.add("BROKEN: %s was sent to %s %.3f s after the change, %.3f s after the latest time; %v",
			a.id, drained.Host, after.Seconds(), (after - limit).Seconds(), replies[a.id])
		if replies[a.id].status != 200 {
			failed++
		}
	}
	p.record.add("%d requests were sent to %s too late; %d of them were not served", late, drained.Host, failed)
	if late > 0 {
		return broken
	}
	return held
}
