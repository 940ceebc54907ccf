package callerlimit

import (
	"math"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/azurebarrow/azurebarrow/generation"
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
	// operatorMemoryBytes and operatorConnections limit the readiness, admin and metrics listeners, which a few programs of the operators
	// call. A legal head with the most fields takes a megabyte.
	operatorMemoryBytes = 4 << 20
	operatorConnections = 64
	// peerMemoryBytes limits what peers make an entry hold, without the bodies between peers, which have limits of their own.
	peerMemoryBytes = 16 << 20
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

// MemoryOfProcess returns the memory that the process sees, or that of the smallest VM if it can't be read.
func MemoryOfProcess() int64 { return orFallback(memoryOfProcess, fallbackMemoryBytes) }

// descriptorsOfProcess returns the number of descriptors that the process may open.
func descriptorsOfProcess() (int64, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int64(min(limit.Cur, math.MaxInt32)), nil
}

// ForOperators returns the limits of a listener that programs of the operators call.
func ForOperators(listener string, log func(event string, fields ...generation.Field)) Options {
	return Options{MemoryBytes: operatorMemoryBytes, Connections: operatorConnections, Listener: listener, Log: log}
}

// ForPeers returns the limits of the listener for other entries.
func ForPeers(log func(event string, fields ...generation.Field)) Options {
	return Options{MemoryBytes: peerMemoryBytes, Connections: defaultPeerConnections(descriptorsOfProcess), Listener: "peers", Log: log}
}

// defaultPeerConnections returns the number of connections from peers: half as many as of callers.
func defaultPeerConnections(descriptors func() (int64, error)) int {
	return int(descriptorShare / 2 * float64(orFallback(descriptors, fallbackDescriptors)))
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
