package lab

// A due is something that happens at a moment of virtual time.
type scheduledEvent struct {
	at int64
	n  int // order of those at one moment
	do func()
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}

func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventQueue) Push(x any) { *a = append(*a, x.(scheduledEvent)) }

func (a *eventQueue) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}
