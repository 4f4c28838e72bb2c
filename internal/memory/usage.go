// Package memory reads how much memory this process uses. It has no state.
package memory

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
)

// A Usage is the memory of this process at one time, in bytes.
type Usage struct {
	Limit  int64 // soft limit of the Go runtime; 0 if there is none
	Mapped int64 // memory that the Go runtime has from the system and has not given back
	Live   int64 // objects on the heap that the last garbage collection found in use
}

// Names of the Go runtime's metrics, as package runtime/metrics documents them.
const (
	totalMetric    = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
	liveMetric     = "/gc/heap/live:bytes"
)

// ReadUsage returns the current usage.
func ReadUsage() Usage {
	samples := []metrics.Sample{{Name: totalMetric}, {Name: releasedMetric}, {Name: liveMetric}}
	metrics.Read(samples)
	total, released, live := samples[0].Value.Uint64(), samples[1].Value.Uint64(), samples[2].Value.Uint64()
	return Usage{Limit: runtimeLimit(), Mapped: int64(total - released), Live: int64(live)}
}

// runtimeLimit returns the soft limit of the Go runtime in bytes; 0 if there is none.
func runtimeLimit() int64 {
	limit := debug.SetMemoryLimit(-1) // a negative limit is not applied
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}
