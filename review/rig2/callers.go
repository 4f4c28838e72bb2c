package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["callers"] = callers }

// Figures of the case callers.
const (
	fleetSchedulers = 300 // that share discovery
	otherCallers    = 210 // seven in ten of them, which have been started anew
	fleetWorkers    = 40
	fleetDraining   = 18                      // nearly half
	handlingTime    = 500 * time.Millisecond  // of a call at a discovery with too many callers
	calmHandling    = 10 * time.Millisecond   // else
	crowdedBefore   = 4500 * time.Millisecond // from when discovery has too many callers until workers begin to drain
	fleetLoad       = 14 * time.Second
	fleetJobEvery   = 40 * time.Millisecond
)

// callers: discovery has too many callers and refuses most calls after they have waited. Nearly half of the workers
// begin to drain, and end when all that they may get by the rules has ended. Nothing new may be sent to them once their
// drain counts as told.
func callers(p *play) int {
	service := map[string]time.Duration{"reading": 200 * time.Millisecond, "ratify": 1200 * time.Millisecond}
	var workers []*worker
	var hosts []host
	for i := range fleetWorkers {
		workers = append(workers, newWorker(fmt.Sprintf("s-%08x", i+1), p.record, service))
		hosts = append(hosts, workers[i].host())
	}
	d := newDiscovery(hosts, 0)
	var handling atomic.Int64
	handling.Store(int64(calmHandling))
	d.handleInTurn(func() time.Duration { return time.Duration(handling.Load()) })
	listenAt, config := freeAddress(), p.directory+"/config.json"
	values := settings(5 * time.Second)
	values["balancers"] = fleetSchedulers
	writeJSON(config, map[string]any{
		"name": "n1", "listen": listenAt, "discovery": d.address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512},
		"known":    map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": values,
	})
	scheduler := startScheduler("scheduler", p, "LB_CONFIG="+config, "LB_NAME=n1", "LB_LISTEN="+listenAt)
	awaitStatus(listenAt, "/_health", 20*time.Second)
	p.record.add("the scheduler is ready")
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	stop := time.Now().Add(fleetLoad)
	var changedAt atomic.Pointer[time.Time]
	var told atomic.Int64 // calls of others that were answered after the change
	if p.trouble {
		handling.Store(int64(handlingTime))
		p.record.add("discovery has %d more callers", otherCallers)
		for range otherCallers {
			wg.Go(func() {
				for time.Now().Before(stop) {
					if get(d.address(), "/catalog/members") == http.StatusOK {
						if changedAt.Load() != nil {
							told.Add(1)
						}
						time.Sleep(time.Second)
					}
					time.Sleep(50*time.Millisecond + time.Duration(rand.Int64N(int64(1400*time.Millisecond))))
				}
			})
		}
	}
	var mu sync.Mutex
	replies := map[string]reply{}
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
			time.Sleep(fleetJobEvery)
		}
	})
	time.Sleep(crowdedBefore)
	for _, h := range hosts[:fleetDraining] {
		h.Health = "leaving"
		d.put(h)
	}
	now := time.Now()
	changedAt.Store(&now)
	p.record.add("discovery has %s to %s as leaving", hosts[0].Host, hosts[fleetDraining-1].Host)
	time.Sleep(workerEnds)
	for i, h := range hosts[:fleetDraining] {
		h.Health = "left"
		d.put(h)
		workers[i].end()
	}
	p.record.add("they have ended; %d calls of others were answered since the change", told.Load())
	wg.Wait()
	if scheduler.exited() {
		p.record.add("BROKEN: the scheduler has ended")
		return broken
	}
	late, failed := 0, 0
	limit := toldWithin + drainGrace + socketTime + heldUp
	for i, w := range workers[:fleetDraining] {
		for _, a := range w.arrivals() {
			after := a.firstByte.Sub(now)
			if after <= limit {
				continue
			}
			late++
			p.record.add("BROKEN: %s was sent to %s %.3f s after the change, %.3f s after the latest time; %v",
				a.id, hosts[i].Host, after.Seconds(), (after - limit).Seconds(), replies[a.id])
			if replies[a.id].status != 200 {
				failed++
			}
		}
	}
	p.record.add("%d requests were sent to draining workers too late; %d of them were not served", late, failed)
	if late > 0 {
		return broken
	}
	return held
}
