package lab

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// StandInSignals are those that StandIns wants to hear of.
var StandInSignals = []os.Signal{syscall.SIGUSR1, syscall.SIGINT, syscall.SIGTERM}

// StandIns runs what examples/config.json needs, until a signal that ends it.
func StandIns(w io.Writer, signals <-chan os.Signal) error {
	work := func(class string) time.Duration {
		if class == "ratify" {
			return 1500 * time.Millisecond
		}
		return 300 * time.Millisecond
	}
	var nodes []*standin.Node
	for i, addr := range []string{"127.0.0.1:3101", "127.0.0.1:3102"} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		n := standin.NodeOn(l, fmt.Sprint("toy-", i), "stirling", "medium", 2, 4, work)
		defer n.Crash()
		nodes = append(nodes, n)
	}
	l, err := net.Listen("tcp", "127.0.0.1:8500")
	if err != nil {
		return err
	}
	d := standin.DiscoveryOn(l, nodes...)
	defer d.Close()
	fmt.Fprintln(w, "discovery on 127.0.0.1:8500, nodes on 127.0.0.1:3101 and 127.0.0.1:3102")
	drains := false
	for s := range signals {
		if s != syscall.SIGUSR1 {
			return nil
		}
		drains = !drains
		health := "active"
		if drains {
			health = "leaving"
		}
		d.Put(nodes[1], health)
		fmt.Fprintln(w, nodes[1].Name, "is", health)
	}
	return nil
}
