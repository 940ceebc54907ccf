package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/objects"
)

// Guards against followers that read an ordinary configuration from the store, because their peer's feed has spent its share of the link
// on the first of them: each follower then calls the store for each change. A former build's followers, which take no compressed answers,
// are the baseline.
func TestAllFollowersOfAFeedGetAnOrdinaryConfiguration(t *testing.T) {
	const configurationBytes = 11 << 10
	for _, test := range []struct {
		name       string
		compressed bool
		wantServed int
	}{
		{"compressed", true, followersPerWatcher},
		{"former build", false, feedBurstBytes / configurationBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFeed()
			f.apply(Part{Kind: KindConfiguration, Revision: 1, Full: true}, testStart)
			f.apply(Part{Kind: KindTarget, Revision: 1, Full: true}, testStart)
			f.apply(Part{Kind: KindConfiguration, Revision: 2, Objects: []objects.Object{
				{Kind: KindConfiguration, Name: "main", Revision: 2, Value: make([]byte, configurationBytes)},
			}}, testStart.Add(time.Second))
			served := 0
			for range followersPerWatcher {
				parts, _, _ := f.partsSince(FeedQuery{
					Revisions: map[string]int64{KindConfiguration: 1, KindTarget: 1}, OnlyChanges: true, Compressed: test.compressed,
				}, testStart.Add(time.Second))
				if objectNames(parts, KindConfiguration)["main"] {
					served++
				}
			}
			t.Logf("%d of %d followers served", served, followersPerWatcher)
			is.Equal(served, test.wantServed)
			is.Equal(f.Withheld(), int64(followersPerWatcher-test.wantServed))
		})
	}
}

// Guards against changes that are charged as compressed and sent plain, since they are small.
func TestSmallPartsAreChargedInFull(t *testing.T) {
	is := is.New(t)
	part := Part{Objects: []objects.Object{{Value: make([]byte, CompressedFrom-1)}}}
	is.Equal(part.size(true), CompressedFrom-1)
	part.Objects[0].Value = make([]byte, 4*CompressedFrom)
	is.Equal(part.size(true), CompressedFrom)
	is.Equal(part.size(false), 4*CompressedFrom)
}
