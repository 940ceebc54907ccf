package directorypeer

import (
	"context"
	"net/http"
	"strings"

	"github.com/klauspost/compress/gzhttp"
	"github.com/klauspost/compress/gzip"

	"github.com/azurebarrow/azurebarrow/directory"
)

// compressedKey is the key of a context that is present if the reader takes compressed answers.
type compressedKey struct{}

// compress returns a handler that compresses the answers of next for readers that take them compressed; those of a former build don't.
func compress(next http.Handler) http.Handler {
	wrap, err := gzhttp.NewWrapper(
		gzhttp.MinSize(directory.CompressedFrom),
		// Needs no memory between answers; a list of targets takes 1 part in 100 more than at the fastest level with a state.
		gzhttp.CompressionLevel(gzip.StatelessCompression),
		gzhttp.ContentTypes([]string{"application/protobuf"}),
	)
	if err != nil {
		panic(err) // only for levels and sizes that don't exist
	}
	return wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			r = r.WithContext(context.WithValue(r.Context(), compressedKey{}, true))
		}
		next.ServeHTTP(w, r)
	}))
}

// isCompressed reports whether the answer to the request is compressed if it is large.
func isCompressed(ctx context.Context) bool { return ctx.Value(compressedKey{}) != nil }
