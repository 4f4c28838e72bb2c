package lab

import "container/heap"

// A scheduledEvent is a call that is due at a moment of virtual time.
type scheduledEvent struct {
	at       int64
	sequence int // order among events at the same moment
	run      func()
}

// An eventQueue orders calls on a virtual clock. The zero value is empty, at time 0.
type eventQueue struct {
	now          int64
	lastSequence int // events ever scheduled; numbers them
	events       eventHeap
}

// schedule adds a call at a moment that is not before now.
func (q *eventQueue) schedule(at int64, run func()) {
	q.lastSequence++
	heap.Push(&q.events, scheduledEvent{at, q.lastSequence, run})
}

// advance moves the clock to the next moment before end and runs all calls that are due then,
// including those scheduled for the same moment meanwhile. It reports whether there was one.
func (q *eventQueue) advance(end int64) bool {
	if len(q.events) == 0 || q.events[0].at >= end {
		return false
	}
	q.now = q.events[0].at
	for len(q.events) > 0 && q.events[0].at == q.now {
		heap.Pop(&q.events).(scheduledEvent).run()
	}
	return true
}

// An eventHeap implements heap.Interface, the earliest event first.
type eventHeap []scheduledEvent

// Len implements sort.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements sort.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}
