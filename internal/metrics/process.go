package metrics

import (
	"runtime"
	"syscall"
)

// RegisterProcess adds the CPU time, the maximum resident memory, the heap size and the number of goroutines
// of the process.
func RegisterProcess(r *Registry) {
	r.GaugeFunc("process_cpu_milliseconds", func() int64 {
		usage := processUsage()
		return (usage.Utime.Nano() + usage.Stime.Nano()) / 1e6
	})
	r.GaugeFunc("process_max_resident_bytes", func() int64 { return processUsage().Maxrss * 1024 })
	r.GaugeFunc("process_heap_bytes", func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapInuse)
	})
	r.GaugeFunc("process_goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
}

func processUsage() syscall.Rusage {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage
}
