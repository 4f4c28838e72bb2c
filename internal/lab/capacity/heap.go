package capacity

import "runtime"

// heapInUse returns the bytes of the heap that are in use, after a collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the second frees what had a finalizer
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
