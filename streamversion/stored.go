package streamversion

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"time"
)

// Digest identifies a stream of a customer in the store: the names are too long to be written for each stream.
type Digest string

// digestBytes is the length of a digest before its encoding. Among the million streams that a fleet may have in progress, two
// share one with a probability of 3e-8.
const digestBytes = 8

// digestOf returns the digest of a stream.
func digestOf(stream, customer string) Digest {
	sum := sha256.Sum256([]byte(customer + "\x00" + stream))
	return Digest(base64.RawURLEncoding.EncodeToString(sum[:digestBytes]))
}

// Content is what an entry keeps in the store, so that it outlives all entries.
type Content struct {
	// Serving are the versions that may have begun streams, by service. Only the keepers write them.
	Serving map[string][]string
	// Streams are the streams that each version began.
	Streams map[string][]Digest
}

// Object is the content of one entry as the store holds it.
type Object struct {
	Entry    string
	Revision int64
	Content
	// Unusable is set if the object can't be decoded: another program wrote it.
	Unusable bool
}

// Store is the port to storage that outlives every entry. It holds one object for each entry.
type Store interface {
	// WriteStreamVersions replaces the object of an entry.
	WriteStreamVersions(ctx context.Context, entry string, content Content) error
	// ReadStreamVersions returns the objects of all entries. A stale read is cheaper, and may lack the last seconds.
	ReadStreamVersions(ctx context.Context, stale bool) ([]Object, error)
	// DeleteStreamVersions deletes the object of an entry if it still has the revision.
	DeleteStreamVersions(ctx context.Context, entry string, revision int64) error
	// Era returns the latest known era of the store, which rises each time it is restored from an older copy; 0 if none is known.
	Era() int64
}

// maxStoredStreams limits what an entry keeps in the store, to about 100 KB. Further streams are known to peers only.
const maxStoredStreams = 8192

// storedStreams are the streams that an entry keeps in the store.
type storedStreams map[Digest]storedStream

type storedStream struct {
	version string
	// expires is zero while the stream runs.
	expires time.Time
}

// add keeps a stream until it ends, or until it expires.
func (s storedStreams) add(stream Digest, version string, expires time.Time) {
	if _, found := s[stream]; found || len(s) < maxStoredStreams {
		s[stream] = storedStream{version, expires}
	}
}

// end records the end of a stream. One that is complete is not taken up again.
func (s storedStreams) end(stream Digest, complete bool, now time.Time) {
	held, found := s[stream]
	switch {
	case !found:
	case complete:
		delete(s, stream)
	default:
		s[stream] = storedStream{held.version, now.Add(recordTTL)}
	}
}

func (s storedStreams) sweep(now time.Time) {
	for stream, held := range s {
		if !held.expires.IsZero() && !now.Before(held.expires) {
			delete(s, stream)
		}
	}
}

// byVersion returns the streams in the form of Content.
func (s storedStreams) byVersion() map[string][]Digest {
	streams := map[string][]Digest{}
	for stream, held := range s {
		streams[held.version] = append(streams[held.version], stream)
	}
	for _, list := range streams {
		slices.Sort(list)
	}
	return streams
}

// lacks reports whether content names a version or a stream that c doesn't.
func (c Content) lacks(content Content) bool {
	for service, versions := range content.Serving {
		if containsNew(c.Serving[service], versions) {
			return true
		}
	}
	for version, streams := range content.Streams {
		if containsNew(c.Streams[version], streams) {
			return true
		}
	}
	return false
}

// containsNew reports whether an element of list is not in sorted, which is sorted.
func containsNew[T ~string](sorted, list []T) bool {
	return slices.ContainsFunc(list, func(element T) bool {
		_, found := slices.BinarySearch(sorted, element)
		return !found
	})
}
