// Command foxlift is a job scheduler on the platform's protocol. See the README
// for its configuration. SIGUSR1 prints its counters; SIGTERM and SIGINT end it
// once everything taken is answered.
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
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
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
	for s := range signals {
		if s != syscall.SIGUSR1 {
			break
		}
		set.Print(os.Stderr)
	}
	fmt.Fprintln(os.Stderr, "foxlift: ending")
	p.ShutDown()
	set.Print(os.Stderr)
	return nil
}
