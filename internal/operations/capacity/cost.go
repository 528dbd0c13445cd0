package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapBytes returns how much live heap build adds. What it returns is kept
// alive until the second reading.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// cpuNanos returns the processor time that work takes in this process, in
// nanoseconds, over all its threads.
func cpuNanos(work func() error) (float64, error) {
	runtime.GC()
	before := processTime()
	if err := work(); err != nil {
		return 0, err
	}
	return float64(processTime() - before), nil
}

func processTime() time.Duration {
	var us unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &us); err != nil {
		return 0
	}
	return time.Duration(us.Utime.Nano() + us.Stime.Nano())
}
