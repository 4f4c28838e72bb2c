package standin

import (
	"sync"
	"time"
)

// A DedupGroup is the workers that drop repeats of a job with an idempotency key together, for a time.
type DedupGroup struct {
	Number int
	Window time.Duration // counted from a job's first arrival at any of them

	mu   sync.Mutex
	seen map[string]seenKey
}

type seenKey struct {
	arrivedAt time.Time
	done      chan struct{} // closed when its run has ended
}

// enter takes in a key; first tells that its job has to run. Without a key every job does.
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

// forget forgets a key whose job was rejected.
func (g *DedupGroup) remove(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.seen, key)
}
