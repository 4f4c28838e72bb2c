package capacity

import "runtime"

// heapInUse runs the garbage collector and returns the bytes of live objects on the heap.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the second collection frees objects that had a finalizer
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
