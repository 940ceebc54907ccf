// Package settings reads and validates the static settings of an entry: what a process must know before
// it can reach the platform. Everything else is configuration, stored as resources in the platform.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"time"
)

// Settings are an entry's static settings, read from a YAML file.
type Settings struct {
	// Name identifies the entry; it must be unique among the entries.
	Name             string `yaml:"name"`
	AvailabilityZone string `yaml:"availabilityZone"`
	// CallerAddress, PeerAddress and AdminAddress are the addresses to listen on, as host:port with an
	// IP address as the host.
	CallerAddress string `yaml:"callerAddress"`
	PeerAddress   string `yaml:"peerAddress"`
	AdminAddress  string `yaml:"adminAddress"`

	// Interface is the interface towards callers, InterfaceNative when empty.
	Interface   string      `yaml:"interface"`
	Passthrough Passthrough `yaml:"passthrough"`

	Platform Platform `yaml:"platform"`
	VMList   VMList   `yaml:"vmList"`
	// Peers are entries known before the start; others are discovered through the platform and the peers.
	Peers  []Peer `yaml:"peers"`
	Limits Limits `yaml:"limits"`
	Ledger Ledger `yaml:"ledger"`
	Log    Log    `yaml:"log"`
}

// Platform holds the location of the platform's object API.
type Platform struct {
	URL string `yaml:"url"`
}

// VMList holds the location of the platform's list of VMs; the URL is empty when there is none.
type VMList struct {
	URL string `yaml:"url"`
}

// Peer is another entry.
type Peer struct {
	Name             string `yaml:"name"`
	Address          string `yaml:"address"`
	AvailabilityZone string `yaml:"availabilityZone"`
}

// Limits are resource limits per caller and per entry. A zero value means the default.
type Limits struct {
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64 `yaml:"bodyBytes"`
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int `yaml:"headerBytes"`
	// HeaderTimeout is the maximum time for reading a request's header.
	HeaderTimeout time.Duration `yaml:"headerTimeout"`
	// BodyTimeout is the maximum time for reading a request's body.
	BodyTimeout time.Duration `yaml:"bodyTimeout"`
	// CallerMemoryBytes is the memory that callers may make the entry hold. 0 means a quarter of the memory of the VM, at least 16 MiB
	// and at most 64 MiB.
	CallerMemoryBytes int64 `yaml:"callerMemoryBytes"`
	// CallerConnections is the maximum number of callers' connections. 0 means half of the descriptors of the process, or as many as
	// half of CallerMemoryBytes pays for if these are fewer.
	CallerConnections int `yaml:"callerConnections"`
	// ReplicaBytes is the maximum memory for replicas of other entries' generations.
	ReplicaBytes int64 `yaml:"replicaBytes"`
	// RetryWindow is how long a finished generation is kept, so that callers can retry and get its
	// output.
	RetryWindow time.Duration `yaml:"retryWindow"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warning or error.
	Level string `yaml:"level"`
}

// MinCallerMemoryBytes is the least memory for callers: with less, a few large heads would take all of it.
const MinCallerMemoryBytes = 2 << 20

// Default limits.
const (
	DefaultBodyBytes     = 4 << 20
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 15 * time.Second
	DefaultReplicaBytes  = 256 << 20
	DefaultRetryWindow   = 5 * time.Minute
	DefaultLogLevel      = "info"
)

// WithDefaults returns s with the defaults in place of zero limits, an empty log level, an empty
// interface and, for the passthrough interface, zero values of Passthrough.
func (s Settings) WithDefaults() Settings {
	limits := &s.Limits
	if limits.BodyBytes == 0 {
		limits.BodyBytes = DefaultBodyBytes
	}
	if limits.HeaderBytes == 0 {
		limits.HeaderBytes = DefaultHeaderBytes
	}
	if limits.HeaderTimeout == 0 {
		limits.HeaderTimeout = DefaultHeaderTimeout
	}
	if limits.BodyTimeout == 0 {
		limits.BodyTimeout = DefaultBodyTimeout
	}
	if limits.ReplicaBytes == 0 {
		limits.ReplicaBytes = DefaultReplicaBytes
	}
	if limits.RetryWindow == 0 {
		limits.RetryWindow = DefaultRetryWindow
	}
	if s.Log.Level == "" {
		s.Log.Level = DefaultLogLevel
	}
	if s.Interface == "" {
		s.Interface = InterfaceNative
	}
	if s.Interface == InterfacePassthrough {
		s.Passthrough = s.Passthrough.withDefaults()
	}
	return s
}

// Finding is one error in the settings, with its position.
type Finding struct {
	File string
	// Line counts from 1; 0 when the error has no line, such as for a missing field.
	Line int
	// Field is the path of the field, such as "peers[1].address".
	Field   string
	Message string
}

// String returns "file:line: field: message".
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Field, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// fault is an error in a field, without its position in a file.
type fault struct{ field, message string }

// validate returns all errors in the values.
func (s Settings) validate() []fault {
	var faults []fault
	addFault := func(field, format string, args ...any) {
		faults = append(faults, fault{field, fmt.Sprintf(format, args...)})
	}
	if s.Name == "" {
		addFault("name", "is required")
	}
	if s.AvailabilityZone == "" {
		addFault("availabilityZone", "is required")
	}
	checkAddress(addFault, "callerAddress", s.CallerAddress)
	checkAddress(addFault, "peerAddress", s.PeerAddress)
	checkAddress(addFault, "adminAddress", s.AdminAddress)
	checkURL(addFault, "platform.url", s.Platform.URL, true)
	checkURL(addFault, "vmList.url", s.VMList.URL, false)
	names := make(map[string]bool, len(s.Peers))
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		if peer.Name == "" {
			addFault(field+".name", "is required")
		}
		if names[peer.Name] {
			addFault(field+".name", "%q stands twice", peer.Name)
		}
		names[peer.Name] = true
		if peer.AvailabilityZone == "" {
			addFault(field+".availabilityZone", "is required")
		}
		checkAddress(addFault, field+".address", peer.Address)
	}
	switch s.Interface {
	case "", InterfaceNative:
	case InterfacePassthrough:
		s.Passthrough.validate(addFault)
	default:
		addFault("interface", "%q is neither %s nor %s", s.Interface, InterfaceNative, InterfacePassthrough)
	}
	s.Limits.validate(addFault)
	s.Ledger.validate(addFault)
	switch s.Log.Level {
	case "", "debug", "info", "warning", "error":
	default:
		addFault("log.level", "%q is none of debug, info, warning, error", s.Log.Level)
	}
	return faults
}

func (l Limits) validate(addFault func(field, format string, args ...any)) {
	if l.BodyBytes < 0 {
		addFault("limits.bodyBytes", "%d is negative", l.BodyBytes)
	}
	if l.HeaderBytes < 0 {
		addFault("limits.headerBytes", "%d is negative", l.HeaderBytes)
	}
	if l.HeaderTimeout < 0 {
		addFault("limits.headerTimeout", "%v is negative", l.HeaderTimeout)
	}
	if l.BodyTimeout < 0 {
		addFault("limits.bodyTimeout", "%v is negative", l.BodyTimeout)
	}
	if l.CallerMemoryBytes < 0 || l.CallerMemoryBytes > 0 && l.CallerMemoryBytes < MinCallerMemoryBytes {
		addFault("limits.callerMemoryBytes", "%d is less than %d", l.CallerMemoryBytes, MinCallerMemoryBytes)
	}
	if l.CallerConnections < 0 {
		addFault("limits.callerConnections", "%d is negative", l.CallerConnections)
	}
	if l.ReplicaBytes < 0 {
		addFault("limits.replicaBytes", "%d is negative", l.ReplicaBytes)
	}
	if l.RetryWindow < 0 {
		addFault("limits.retryWindow", "%v is negative", l.RetryWindow)
	}
}

func checkAddress(addFault func(field, format string, args ...any), field, address string) {
	if address == "" {
		addFault(field, "is required")
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		addFault(field, "%q is not host:port", address)
		return
	}
	if net.ParseIP(host) == nil {
		addFault(field, "%q: the host must be an IP number", address)
	}
}

func checkURL(addFault func(field, format string, args ...any), field, text string, required bool) {
	if text == "" {
		if required {
			addFault(field, "is required")
		}
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		addFault(field, "%q is not an http or https URL", text)
	}
}
