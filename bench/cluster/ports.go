package cluster

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports lie below the system's ephemeral range, so that no outgoing connection takes a server's
// port while the server is stopped.
const (
	firstPort  = 10000
	blockCount = 80
	// blockPorts is the number of ports in a block. A process claims a block by listening on the
	// block's first port, so that processes that run clusters at the same time use distinct addresses.
	blockPorts = 250
)

var errNoFreePort = errors.New("no block of ports is free")

// ports allocates addresses from the blocks that this process has claimed.
var ports struct {
	mu sync.Mutex
	// blockListeners hold the claims on the blocks until the process ends.
	blockListeners []net.Listener
	block          int
	next           int
}

// FreeAddress returns a loopback address that nothing listens on. It returns each address once, and
// no other process that uses this package returns it.
func FreeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for {
		if len(ports.blockListeners) == 0 || ports.next == blockPorts {
			if err := claimBlock(); err != nil {
				return "", err
			}
		}
		address := loopback(ports.block, ports.next)
		ports.next++
		if isListening(address) {
			continue // used by an unrelated program
		}
		return address, nil
	}
}

// isListening reports whether a server listens on an address. It connects instead of trying to listen:
// a child process inherits this process's listeners until its exec, so that a listener opened here
// could still occupy the address after it is closed.
func isListening(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// claimBlock claims a free block. The search starts at a block that depends on the process ID, so that
// processes started together rarely try the same one.
func claimBlock() error {
	start := os.Getpid() + len(ports.blockListeners)
	for i := range blockCount {
		block := (start + i) % blockCount
		listener, err := net.Listen("tcp", loopback(block, 0))
		if err != nil {
			continue
		}
		ports.blockListeners = append(ports.blockListeners, listener)
		ports.block = block
		ports.next = 1
		return nil
	}
	return errNoFreePort
}

func loopback(block, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+block*blockPorts+port)
}
