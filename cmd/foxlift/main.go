// Command foxlift is a job scheduler on the platform's protocol. See the README
// for its configuration. SIGUSR1 prints its counters; SIGHUP reads the file
// again; SIGTERM and SIGINT end it once everything taken is answered.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/platform"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "foxlift:", err)
		os.Exit(1)
	}
}

func run() error {
	// Each kind has its own channel: none is lost while another is being seen to. A
	// SIGHUP before the start counts after it; amid the end it does nothing.
	ends, reloads, asks := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(asks, syscall.SIGUSR1)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)                               // a scheduler has one core
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 2) // the rest is for stacks, the kernel's part and what the collector misses

	set := &counters.Set{}
	clock := core.NewClock()
	c, err := core.New(cfg.Settings, cfg.Seed, clock, set)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	p, err := platform.Start(cfg, c, clock, set)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "foxlift: %s listens on %s\n", cfg.Name, p.Addr())
	for running := true; running; {
		select {
		case <-ends:
			running = false
		case <-asks:
			set.Print(os.Stderr)
		case <-reloads:
			reload(p, set)
		}
	}
	fmt.Fprintln(os.Stderr, "foxlift: ending")
	p.ShutDown()
	set.Print(os.Stderr)
	return nil
}

// reload takes over what the configuration file says now; one that is faulty
// anywhere changes nothing.
func reload(p *platform.Platform, set *counters.Set) {
	cfg, err := config.Reload(os.Getenv)
	if err == nil {
		err = p.Reload(cfg)
	}
	if err != nil {
		set.Add("reloads.faulty")
		fmt.Fprintln(os.Stderr, "foxlift: not reloaded:", err)
		return
	}
	set.Add("reloads.done")
	fmt.Fprintln(os.Stderr, "foxlift: reloaded, discovery is", cfg.Discovery)
}
