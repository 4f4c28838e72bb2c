package standin

import (
	"sync"
	"time"
)

// A DedupGroup is a group of workers that together deduplicate jobs by idempotency key for a limited time.
type DedupGroup struct {
	Number int           // in the endpoint list
	Window time.Duration // for which a key is kept, from its first arrival at any worker of the group; 0: not at all

	mu   sync.Mutex
	seen map[string]seenKey
}

// A seenKey records the first arrival of an idempotency key.
type seenKey struct {
	arrivedAt time.Time
	done      chan struct{} // closed when the job's run has ended
}

// register records the arrival of a job with an idempotency key. first reports whether the worker has to run the job:
// no job with the key arrived within Window, or the key is empty. done is closed when the first job with the key has
// ended; the caller closes it if first is true.
func (g *DedupGroup) register(key string) (first bool, done chan struct{}) {
	done = make(chan struct{})
	if key == "" {
		return true, done
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen == nil {
		g.seen = map[string]seenKey{}
	}
	if earlier, ok := g.seen[key]; ok && time.Since(earlier.arrivedAt) < g.Window {
		return false, earlier.done
	}
	g.seen[key] = seenKey{time.Now(), done}
	return true, done
}

// remove removes a key whose job was rejected and therefore has not run.
func (g *DedupGroup) remove(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.seen, key)
}
