package runner

import (
	"cmp"
	"log/slog"
	"math"
	"runtime/debug"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

const (
	bytesPerMB = 1000 * 1000
	// The Go runtime keeps to heapNumerator/heapDenominator of the machine's memory. The rest
	// is for the program's own pages and for what the collector lags behind.
	heapNumerator   = 3
	heapDenominator = 4
	// callerMemoryDivisor is the part of the memory that callers' connections and requests
	// may take. Garbage takes about as much as what is in use.
	callerMemoryDivisor = 2
	// callerDescriptorDivisor is the part of the descriptors for callers' connections. The
	// others are for connections to upstreams, peers and the store.
	callerDescriptorDivisor = 2
	// One caller's address may take perCallerNumerator/perCallerDenominator of the
	// connections.
	perCallerNumerator   = 3
	perCallerDenominator = 4
	// defaultMaxBufferedBytes limits the bodies of answers to once-only requests.
	defaultMaxBufferedBytes = 64 << 20
)

// limitHeap makes the Go runtime keep to the machine's memory, if the settings name it.
func limitHeap(limits loader.Limits, log *slog.Logger) {
	if limits.MemoryMB <= 0 {
		return
	}
	bytes := limits.MemoryMB * bytesPerMB / heapDenominator * heapNumerator
	debug.SetMemoryLimit(bytes)
	log.Info("heap limited", "memory", limits.MemoryMB*bytesPerMB, "heap", bytes)
}

// callerLimits returns the limits on callers' connections.
func callerLimits(limits loader.Limits, log *slog.Logger) accountant.Limits {
	memory := limits.MemoryMB * bytesPerMB
	if heap := debug.SetMemoryLimit(-1); memory == 0 && heap < math.MaxInt64 {
		memory = heap
	}
	memory = cmp.Or(memory, machineMemory())
	connections := cmp.Or(limits.MaxConnections, cmp.Or(limits.Descriptors, openFileLimit())/callerDescriptorDivisor)
	out := accountant.Limits{
		Bytes:             memory / callerMemoryDivisor,
		Connections:       connections,
		CallerConnections: cmp.Or(limits.MaxCallerConnections, connections/perCallerDenominator*perCallerNumerator),
	}
	log.Info("callers limited", "bytes", out.Bytes, "connections", out.Connections, "percaller", out.CallerConnections)
	return out
}

// machineMemory returns the bytes of memory that the operating system reports, 0 if it does not.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(min(uint64(info.Totalram)*uint64(info.Unit), math.MaxInt64)) //nolint:unconvert // The types differ between machines.
}

// openFileLimit returns the operating system's limit on the descriptors of this process, 0 if
// it is not known.
func openFileLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
