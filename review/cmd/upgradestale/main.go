// Command upgradestale plays an upgrade during which discovery is down, and looks for requests that reach a worker
// long after the scheduler was told that it drains.
package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/rig"
)

const (
	workers     = 3
	readyLimit  = 6 * time.Second                            // the new process says yes by then
	killAfter   = 3*time.Second + 700*time.Millisecond       // after SIGTERM
	binding     = 2 * time.Second                            // after the yes
	grace       = 750*time.Millisecond + 50*time.Millisecond // drainGrace of the settings, and 50 ms on sockets
	heldUp      = 150 * time.Millisecond                     // a scheduler may be held up for so long
	outage      = 8 * time.Second                            // of discovery
	afterDrain  = 10 * time.Second                           // from the drain to the upgrade
	clientCount = 10
	pace        = 30 * time.Millisecond
)

func main() { os.Exit(rig.Main(115*time.Second, play)) }

// A judge holds what the drain rule needs: when w1 was told as leaving, and from when on that binds.
type judge struct {
	env    *rig.Env
	told   atomic.Int64 // Unix nanoseconds at which discovery has written the change; 0: not yet
	binds  atomic.Int64 // from then on (and the grace) nothing may come to w1; 0: not bound
	broken atomic.Int64
	late   atomic.Int64
}

func (j *judge) arrived(id, class string) {
	now := time.Now()
	told := j.told.Load()
	if told == 0 {
		return
	}
	since := now.Sub(time.Unix(0, told))
	if since > grace+heldUp {
		j.late.Add(1)
		j.env.Record.Note("w1: gets %s (%s) %.3f s after its drain was told to the scheduler", id, class, since.Seconds())
	}
	if b := j.binds.Load(); b != 0 && now.Sub(time.Unix(0, b)) > grace+heldUp {
		j.broken.Add(1)
	}
}

func play(env *rig.Env, trouble bool) (broken bool, err error) {
	addr, err := rig.FreeAddr()
	if err != nil {
		return false, err
	}
	discovery, err := rig.StartDiscovery(addr)
	if err != nil {
		return false, err
	}
	j := &judge{env: env}
	runs := rig.NewRuns()
	var hosts []rig.Host
	for i := range workers {
		w := rig.NewPlainWorker(fmt.Sprintf("w%d", i+1), 4, 8, env.Record, runs, func(string) time.Duration {
			return 20 * time.Millisecond
		})
		handle := w.Handle
		if i == 0 {
			handle = func(c net.Conn, r *rig.Request) bool {
				j.arrived(r.ID, r.Class)
				return w.Handle(c, r)
			}
		}
		s, err := rig.StartServer("127.0.0.1:0", handle)
		if err != nil {
			return false, err
		}
		defer s.Close()
		h := rig.Host{Host: w.Name, Dial: s.Addr, Site: "stirling", Class: "large", Health: "active", Share: 1}
		hosts = append(hosts, h)
		discovery.Put(h)
	}
	listen, err := rig.FreeAddr()
	if err != nil {
		return false, err
	}
	admins := make([]string, 2)
	for i := range admins {
		if admins[i], err = rig.FreeAddr(); err != nil {
			return false, err
		}
	}
	config, err := env.WriteConfig("n1", func(c, _ map[string]any) {
		c["name"], c["listen"], c["discovery"], c["known"] = "n1", listen, addr, discovery.List()
	})
	if err != nil {
		return false, err
	}
	old, err := env.Start("n1", listen, config, "LB_DISCOVERY="+addr, "LB_ADMIN="+admins[0])
	if err != nil {
		return false, err
	}
	if err := rig.AwaitReady(listen, "/_health", 20*time.Second); err != nil {
		return false, err
	}
	var stop atomic.Bool
	var wg sync.WaitGroup
	statuses := &sync.Map{}
	for i := range clientCount {
		wg.Go(func() { usual(env, listen, i, &stop, statuses) })
	}
	time.Sleep(3 * time.Second)
	if err := drain(env, discovery, hosts[0], j); err != nil {
		return false, err
	}
	time.Sleep(afterDrain)
	if j.late.Load() > 0 {
		return false, fmt.Errorf("the old process sent to w1 after it was told: not what this case is about")
	}
	if trouble {
		env.Record.Say("discovery goes down for %v", outage)
		discovery.Close()
		time.AfterFunc(outage, func() {
			if d, err := rig.StartDiscovery(addr); err == nil {
				d.Restore(discovery)
				env.Record.Say("discovery is back")
			}
		})
	}
	env.Record.Say("the platform starts the new process")
	successor, err := env.Start("n1-new", listen, config, "LB_NAME=n1", "LB_DISCOVERY="+addr, "LB_ADMIN="+admins[1])
	if err != nil {
		return false, err
	}
	begun := time.Now()
	if err := rig.AwaitReady(admins[1], "/admin/health", readyLimit); err != nil {
		return false, err
	}
	env.Record.Say("the new process says yes after %.2f s: SIGTERM to the old one", time.Since(begun).Seconds())
	j.binds.Store(time.Now().Add(binding).UnixNano())
	old.Signal(syscall.SIGTERM)
	if !old.Wait(killAfter) {
		old.Kill()
	}
	time.Sleep(10 * time.Second)
	stop.Store(true)
	wg.Wait()
	if successor.Exited() {
		return false, fmt.Errorf("the new process has ended")
	}
	counts := map[any]any{}
	statuses.Range(func(k, v any) bool { counts[k] = v.(*atomic.Int64).Load(); return true })
	env.Record.Say("clients' jobs by status %v; w1 got %d jobs after its drain was told, of them %d past all grace",
		counts, j.late.Load(), j.broken.Load())
	if j.broken.Load() > 0 {
		env.Record.Say("broken: the scheduler sends new work to a worker that it was told drains")
	}
	return j.broken.Load() > 0, nil
}

// drain announces w1 as leaving and waits until discovery has written that to the scheduler and called again.
func drain(env *rig.Env, discovery *rig.Discovery, w1 rig.Host, j *judge) error {
	w1.Health = "leaving"
	discovery.Put(w1)
	want := discovery.Seq()
	for range 100 {
		if discovery.Told() >= want {
			j.told.Store(time.Now().UnixNano())
			env.Record.Say("w1 drains; discovery has written that to the scheduler")
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the scheduler does not watch")
}

// usual sends the jobs of one client, one at a time.
func usual(env *rig.Env, addr string, number int, stop *atomic.Bool, statuses *sync.Map) {
	client := &rig.Client{Addr: addr}
	for k := 0; !stop.Load(); k++ {
		time.Sleep(pace)
		job := &rig.Job{ID: fmt.Sprintf("r%d-%d", number, k), Class: "reading", Tenant: "islands",
			Remaining: 5 * time.Second, Body: []byte("station 7")}
		if k%4 == 0 {
			job.ID, job.Class, job.Remaining = fmt.Sprintf("a%d-%d", number, k), "ratify", 25*time.Second
		}
		a := client.Do(job)
		n, _ := statuses.LoadOrStore(a.Status, &atomic.Int64{})
		n.(*atomic.Int64).Add(1)
		env.Record.Note("client: %s (%s) answered %d %v", job.ID, job.Class, a.Status, a.Err)
	}
}
