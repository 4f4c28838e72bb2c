package capacity

import (
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// unusedAddr is the address of all hollow workers: nothing is ever sent to it.
const unusedAddr = "127.0.0.1:9"

// hollowDiscovery starts a stand-in for discovery whose endpoint list has a number of hollow workers.
func hollowDiscovery(workers int) (*standin.Discovery, error) {
	d, err := standin.StartDiscovery()
	if err != nil {
		return nil, err
	}
	announceHollowWorkers(d, 0, workers)
	return d, nil
}

// announceHollowWorkers adds count hollow workers to the endpoint list, numbered from first.
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

// hollowStartedAt is the start time of all hollow workers. It is long ago and has as many digits as any other time, so
// that entries have a realistic size.
var hollowStartedAt = time.UnixMilli(1_790_000_000_000)

// endpointsBytes returns the length in bytes of the complete endpoint list with a number of workers.
func endpointsBytes(workers int) (int, error) {
	d, err := hollowDiscovery(workers)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	return len(d.ListJSON()), nil
}
