package standin

import (
	"sync"
	"time"
)

// A Pod is the nodes that drop repeats of a keyed job together, for a time.
type DedupGroup struct {
	Number int
	Window time.Duration // counted from a job's first arrival at any of them

	mu   sync.Mutex
	seen map[string]seenKey
}

type seenKey struct {
	at   time.Time
	done chan struct{} // closed when its run has ended
}

// enter takes in a key; first tells that it has to run. Without a key every job does.
func (p *DedupGroup) enter(key string) (first bool, done chan struct{}) {
	done = make(chan struct{})
	if key == "" {
		return true, done
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = map[string]seenKey{}
	}
	if s, ok := p.seen[key]; ok && time.Since(s.at) < p.Window {
		return false, s.done
	}
	p.seen[key] = seenKey{time.Now(), done}
	return true, done
}

// forget forgets a key whose job was turned away.
func (p *DedupGroup) forget(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.seen, key)
}
