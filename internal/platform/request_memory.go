package platform

import (
	"errors"
	"math"
	"sync"

	"github.com/vatu-meals/foxlift"
)

const (
	requestMemoryDivisor = 4       // requests may take 1/4 of the memory limit
	unreservedBytes      = 4 << 10 // of a request or a read buffer need no reservation: connections are bounded
)

// errNoMemory is returned if the memory for requests is used up.
var errNoMemory = errors.New("no memory for the request")

// requestMemory accounts for the memory that clients' requests take. It is safe for concurrent use.
type requestMemory struct {
	mu    sync.Mutex
	quota *foxlift.MemoryQuota
}

// newRequestMemory returns the memory for requests without a limit.
func newRequestMemory() *requestMemory {
	return &requestMemory{quota: foxlift.NewMemoryQuota(math.MaxInt64 / (2 * requestMemoryDivisor))}
}

// setProcessLimit derives the limit from the memory that the process may use, in bytes.
func (m *requestMemory) setProcessLimit(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quota.SetLimit(bytes / requestMemoryDivisor)
}

// used returns the bytes that are reserved.
func (m *requestMemory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quota.Used()
}

// A memoryReservation is the memory reserved for one request or read buffer. Its zero value reserves none. It is used
// by one goroutine.
type memoryReservation struct {
	memory *requestMemory
	tenant string
	bytes  int64
}

// resize changes the reservation to a size in bytes, for a request of a tenant, which stays the same until release. It
// returns false if the memory is not available; the earlier reservation stays then.
func (r *memoryReservation) resize(memory *requestMemory, tenant string, size int64) bool {
	if size <= unreservedBytes {
		r.release()
		return true
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	switch added := size - r.bytes; {
	case added < 0:
		memory.quota.Release(tenant, -added)
	case !memory.quota.Reserve(tenant, added):
		return false
	}
	*r = memoryReservation{memory, tenant, size}
	return true
}

// release gives the memory back. Without a reservation it does nothing.
func (r *memoryReservation) release() {
	if r.bytes == 0 {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.quota.Release(r.tenant, r.bytes)
	*r = memoryReservation{}
}
