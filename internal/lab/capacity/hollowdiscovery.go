package capacity

import (
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// unusedAddr is the address of all hollow workers: nothing is ever sent there.
const unusedAddr = "127.0.0.1:9"

// hollowDiscovery starts a stand-in for discovery that lists so many hollow workers.
func hollowDiscovery(workers int) (*standin.Discovery, error) {
	d, err := standin.StartDiscovery()
	if err != nil {
		return nil, err
	}
	announceHollowWorkers(d, 0, workers)
	return d, nil
}

// announceHollowWorkers adds hollow workers to the endpoint list, from one number on.
func announceHollowWorkers(discovery *standin.Discovery, first, count int) {
	entries := make([]standin.Entry, count)
	for i := range entries {
		w := hollowWorker(first + i)
		entries[i] = standin.Entry{
			Host: w.ID, Dial: unusedAddr, Zone: zoneName(w.Zone), Kind: kindName(w.Kind),
			Health: "active", StartedAt: hollowStartedAt,
		}
	}
	discovery.Announce(entries...)
}

// hollowStartedAt is when the hollow workers started: long ago, and as long in digits as any other time.
var hollowStartedAt = time.UnixMilli(1_790_000_000_000)

// endpointsBytes returns the length of the complete endpoint list in bytes.
func endpointsBytes(workers int) (int, error) {
	d, err := hollowDiscovery(workers)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	return len(d.ListJSON()), nil
}
