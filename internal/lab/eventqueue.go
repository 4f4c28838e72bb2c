package lab

import "container/heap"

// A scheduledEvent is a function call that is due at a point of virtual time.
type scheduledEvent struct {
	at       int64 // nanoseconds
	sequence int   // order of events that are due at the same time
	run      func()
}

// An eventQueue runs function calls in the order of their due times on a virtual clock. The zero value is empty, at
// time 0.
type eventQueue struct {
	now          int64
	lastSequence int // sequence number of the last scheduled event
	events       eventHeap
}

// schedule adds a call that is due at a time, which must not be before now.
func (q *eventQueue) schedule(at int64, run func()) {
	q.lastSequence++
	heap.Push(&q.events, scheduledEvent{at, q.lastSequence, run})
}

// advance moves the clock to the next due time before end and runs all calls that are due then, including calls that
// these calls schedule for the same time. It returns false, and does nothing, if no call is due before end.
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

// An eventHeap implements heap.Interface with the earliest event first.
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
