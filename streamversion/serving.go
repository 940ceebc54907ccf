package streamversion

import (
	"slices"
	"time"
)

// servingTTL is how long a version counts as one that may have begun streams after its last target has left: as long as records
// are kept, since a stream of it may be taken up until then.
const servingTTL = recordTTL

// servingVersions are the versions that have served lately, by service.
type servingVersions map[string]map[string]time.Time

// observe records that the versions serve.
func (s servingVersions) observe(service string, versions []string, now time.Time) {
	if len(versions) == 0 {
		return
	}
	if s[service] == nil {
		s[service] = map[string]time.Time{}
	}
	for _, version := range versions {
		s[service][version] = now
	}
}

// list returns the versions of a service that have served lately, sorted.
func (s servingVersions) list(service string, now time.Time) []string {
	var versions []string
	for version, servedAt := range s[service] {
		if now.Sub(servedAt) < servingTTL {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// all returns the versions of all services that have served lately.
func (s servingVersions) all(now time.Time) map[string][]string {
	all := map[string][]string{}
	for service := range s {
		if versions := s.list(service, now); len(versions) > 0 {
			all[service] = versions
		}
	}
	return all
}

// sweep drops versions that have not served for servingTTL.
func (s servingVersions) sweep(now time.Time) {
	for service, versions := range s {
		for version, servedAt := range versions {
			if now.Sub(servedAt) >= servingTTL {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(s, service)
		}
	}
}
