package callerlimit

import (
	"math"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// fallbackMemoryBytes and fallbackDescriptors are those of the smallest VM, used if the process can't find out its own.
	fallbackMemoryBytes = 144 << 20
	fallbackDescriptors = 3075
	// memoryShare is the share of the memory of the process that callers may make it hold by default, within minMemoryBytes and
	// maxMemoryBytes. The rest is for the process itself and for what requests need while they are served.
	memoryShare    = 0.25
	minMemoryBytes = 16 << 20
	maxMemoryBytes = 64 << 20
	// descriptorShare is the share of the descriptors for callers' connections: requests need others for their targets.
	descriptorShare = 0.5
)

// memoryOfProcess returns the memory that the process sees.
func memoryOfProcess() (int64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, err
	}
	return int64(info.Totalram) * int64(info.Unit), nil
}

// descriptorsOfProcess returns the number of descriptors that the process may open.
func descriptorsOfProcess() (int64, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int64(min(limit.Cur, math.MaxInt32)), nil
}

// orFallback returns what read returns, or the fallback if that fails.
func orFallback(read func() (int64, error), fallback int64) int64 {
	value, err := read()
	if err != nil || value <= 0 {
		return fallback
	}
	return value
}

// defaultMemory returns the default of Options.MemoryBytes.
func defaultMemory(memory func() (int64, error)) int64 {
	share := int64(memoryShare * float64(orFallback(memory, fallbackMemoryBytes)))
	return min(max(share, minMemoryBytes), maxMemoryBytes)
}

// defaultConnections returns the default of Options.Connections: no more than half of the memory pays for.
func defaultConnections(memoryBytes int64, descriptors func() (int64, error)) int {
	share := int64(descriptorShare * float64(orFallback(descriptors, fallbackDescriptors)))
	return int(min(memoryBytes/2/connectionBytes, share))
}
