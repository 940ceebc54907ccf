// Package platform is a stand-in for the platform's object API: a store with revisions, conditional writes
// and watches, which limits call rates, counts calls and can be made to fail.
package platform

// Options configures a Platform.
type Options struct {
	// ReadsPerSecond and WritesPerSecond limit the call rates; 0 is no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// KeptEvents limits the number of changes kept for watches; 0 is no limit. A watch after an older
	// revision fails.
	KeptEvents int
}

// DefaultOptions returns options with the call rates of the users' platform.
func DefaultOptions() Options {
	return Options{ReadsPerSecond: 2000, WritesPerSecond: 400, KeptEvents: 10000}
}
