package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// StandInSignals are the signals that RunStandIns handles. The caller must deliver them to its channel.
var StandInSignals = []os.Signal{syscall.SIGUSR1, syscall.SIGINT, syscall.SIGTERM}

// RunStandIns runs the discovery and the workers that examples/config.json refers to, until it receives a signal other
// than SIGUSR1 or signals is closed. SIGUSR1 switches the second worker between active and leaving (draining) in the
// endpoint list. RunStandIns returns an error only if it cannot listen on an address. ctx does not end it.
func RunStandIns(ctx context.Context, w io.Writer, signals <-chan os.Signal) error {
	var listenConfig net.ListenConfig
	var workers []*standin.Worker
	for i, addr := range []string{"127.0.0.1:3101", "127.0.0.1:3102"} {
		listener, err := listenConfig.Listen(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		worker := standin.WorkerOn(listener, standin.WorkerSpec{
			Name:        fmt.Sprint("toy-", i),
			Zone:        "stirling",
			Kind:        "medium",
			Slots:       2,
			Queue:       4,
			ServiceTime: standInServiceTime,
		})
		defer worker.Crash()
		workers = append(workers, worker)
	}
	listener, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:8500")
	if err != nil {
		return err
	}
	discovery := standin.DiscoveryOn(listener, workers...)
	defer discovery.Close()
	fmt.Fprintln(w, "discovery on 127.0.0.1:8500, workers on 127.0.0.1:3101 and 127.0.0.1:3102")
	draining := false
	for s := range signals {
		if s != syscall.SIGUSR1 {
			return nil
		}
		draining = !draining
		health := "active"
		if draining {
			health = "leaving"
		}
		discovery.Put(workers[1], health)
		fmt.Fprintln(w, workers[1].Name, "is", health)
	}
	return nil
}

// standInServiceTime returns the service time of a class at the stand-in workers.
func standInServiceTime(class string) time.Duration {
	if class == "ratify" {
		return 1500 * time.Millisecond
	}
	return 300 * time.Millisecond
}
