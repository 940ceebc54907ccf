package objects

import "context"

type largeAnswerKey struct{}

// WithLargeAnswer returns a context for calls to a store, which call notify as soon as an answer proves so
// large that the rest is read at a limited rate.
func WithLargeAnswer(ctx context.Context, notify func()) context.Context {
	return context.WithValue(ctx, largeAnswerKey{}, notify)
}

// NotifyLargeAnswer calls the function that was given to WithLargeAnswer, if any. An implementation of a store
// calls it.
func NotifyLargeAnswer(ctx context.Context) {
	if notify, ok := ctx.Value(largeAnswerKey{}).(func()); ok {
		notify()
	}
}

type readProgressKey struct{}

// WithReadProgress returns a context for calls to a store, which call notify whenever a part of an answer
// arrives.
func WithReadProgress(ctx context.Context, notify func()) context.Context {
	return context.WithValue(ctx, readProgressKey{}, notify)
}

// NotifyReadProgress calls the function that was given to WithReadProgress, if any. An implementation of a store
// calls it.
func NotifyReadProgress(ctx context.Context) {
	if notify, ok := ctx.Value(readProgressKey{}).(func()); ok {
		notify()
	}
}
