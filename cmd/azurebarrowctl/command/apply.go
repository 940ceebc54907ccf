package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/objects"
)

type applyCommand struct {
	globals *globalOptions
	Paths   []string      `short:"f" long:"file" value-name:"FILE|DIR" required:"yes" description:"resource files; may be repeated"`
	DryRun  bool          `long:"dry-run" description:"only show what would change"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to go on when the platform does not answer"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	client, err := c.globals.platform()
	if err != nil {
		return err
	}
	documents, findings, err := readDocuments(c.Paths)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.globals.ctx, c.Timeout)
	defer cancel()
	a := &applier{client: client}
	stored, err := retry(ctx, func() ([]storedResource, error) { return listAll(ctx, client, v1.Kinds()) })
	if err != nil {
		return err
	}
	findings = append(findings, validateWithStored(documents, stored)...)
	if len(findings) > 0 {
		findings.Sort()
		return c.globals.printFindings(findings, len(documents))
	}
	changes := slices.DeleteFunc(compareResources(documents, stored), func(candidate change) bool { return candidate.Kind == changeExtra })
	if !c.DryRun {
		err = a.applyAll(ctx, documents, stored, changes)
	}
	if printed := c.globals.printChanges(changes); printed != nil {
		return printed
	}
	if err != nil {
		return err
	}
	return conflictExitError(changes)
}

// conflictExitError returns an exitError with ExitConflict if one of the changes is a conflict.
func conflictExitError(changes []change) error {
	for _, change := range changes {
		if change.Kind == changeConflict {
			return exitError{ExitConflict}
		}
	}
	return nil
}

// validateWithStored validates the documents together with the stored resources that they don't replace, and
// returns only the findings about the documents.
func validateWithStored(documents []v1.Document, stored []storedResource) v1.Findings {
	all := slices.Clone(documents)
	files := map[string]bool{}
	replaced := map[v1.ResourceKey]bool{}
	for _, document := range documents {
		files[document.File] = true
		replaced[document.Key()] = true
	}
	for _, resource := range stored {
		if resource.document != nil && !replaced[resource.document.Key()] {
			all = append(all, *resource.document)
		}
	}
	return slices.DeleteFunc(v1.Validate(all), func(finding v1.Finding) bool { return !files[finding.File] })
}

// applier writes changes to the platform, one after the other.
type applier struct {
	client *platformhttp.Client
}

// applyAll writes the changes and sets their results. After a conflict it continues with the next change; on
// an error it stops, and marks the remaining changes as changeNotTried.
func (a *applier) applyAll(ctx context.Context, documents []v1.Document, stored []storedResource, changes []change) error {
	present := map[v1.ResourceKey]storedResource{}
	for _, resource := range stored {
		present[v1.ResourceKey{Kind: resource.object.Kind, Name: resource.object.Name}] = resource
	}
	wanted := map[v1.ResourceKey]v1.Document{}
	for _, document := range documents {
		wanted[document.Key()] = document
	}
	for i := range changes {
		if changes[i].Kind != changeCreate && changes[i].Kind != changeUpdate {
			continue
		}
		if err := a.applyOne(ctx, wanted[changes[i].Key], present[changes[i].Key], &changes[i]); err != nil {
			changes[i].Kind, changes[i].Message = changeUncertain, err.Error()
			for j := i + 1; j < len(changes); j++ {
				changes[j].Kind = changeNotTried
			}
			return err
		}
	}
	return nil
}

// applyOne writes one document over base, the stored resource that it was compared with. The write is
// retried where that can't overwrite the change of another writer: after the platform rejected the write
// without effect, and over a newer revision with the same spec, such as one in which only the status changed.
func (a *applier) applyOne(ctx context.Context, document v1.Document, base storedResource, result *change) error {
	expected := base
	object, err := retry(ctx, func() (objects.Object, error) {
		value, err := encodeStored(document, expected)
		if err != nil {
			return objects.Object{}, backoff.Permanent(err)
		}
		object, err := a.client.Put(ctx, result.Key.Kind, result.Key.Name, expected.object.Revision, value)
		if err == nil || errors.Is(err, objects.ErrUnavailable) {
			return object, err
		}
		if !objects.IsConflict(err) && !errors.Is(err, objects.ErrUnknownOutcome) {
			return objects.Object{}, backoff.Permanent(err)
		}
		return a.resolveOutcome(ctx, document, base, &expected, err)
	})
	if specChanged := (*specChangedError)(nil); errors.As(err, &specChanged) {
		result.Kind, result.Present, result.Message = changeConflict, specChanged.present, specChanged.Error()
		result.Fields = specChanged.fields
		return nil
	}
	result.Revision = object.Revision
	return err
}

// specChangedError reports that another writer changed the spec since it was read.
type specChangedError struct {
	expected, present int64
	fields            []fieldChange
}

// Error implements error.
func (r *specChangedError) Error() string {
	return fmt.Sprintf("was at revision %d, somebody else made it revision %d", r.expected, r.present)
}

// resolveOutcome reads the object after a conflict or a lost answer, to determine whether the document is
// already stored, the write can be retried over the present revision, or another writer changed the spec.
// For a retry it sets expected and returns cause.
func (a *applier) resolveOutcome(ctx context.Context, document v1.Document, base storedResource, expected *storedResource, cause error) (objects.Object, error) {
	object, err := a.client.Get(ctx, document.Key().Kind, document.Key().Name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return objects.Object{}, errors.Join(cause, err)
	}
	present := decodeStored(object)
	conflict := (*objects.ConflictError)(nil)
	if errors.As(cause, &conflict) && object.Revision < conflict.Present {
		return objects.Object{}, fmt.Errorf("%w: a read is behind revision %d", objects.ErrUnavailable, conflict.Present)
	}
	switch {
	case present.document != nil && sameSpec(present.document.Resource, document.Resource):
		return object, nil // an earlier attempt took effect, or another writer stored the same spec
	case specUnchanged(base, present):
		*expected = present
		return objects.Object{}, cause
	}
	specChanged := &specChangedError{expected: base.object.Revision, present: object.Revision}
	if present.document != nil {
		specChanged.fields = fieldChanges(present.document.Resource, document.Resource)
	}
	return objects.Object{}, backoff.Permanent(specChanged)
}

// specUnchanged reports whether the stored resource still has the spec that it had in base.
func specUnchanged(base, present storedResource) bool {
	if base.document == nil || present.document == nil {
		return base.object.Revision == present.object.Revision
	}
	return base.object.UID == present.object.UID && sameSpec(base.document.Resource, present.document.Resource)
}

// encodeStored returns the value to store: the document's spec with the next generation of base, and the
// status of base, which entries write.
func encodeStored(document v1.Document, base storedResource) ([]byte, error) {
	var status v1.Status
	if base.document != nil {
		status = *base.document.Resource.State()
	}
	return json.Marshal(storedValue{
		TypeMeta: document.Resource.Type(),
		Metadata: storedMetadata{Name: document.Key().Name, Generation: base.generation() + 1},
		Spec:     specText(document.Resource),
		Status:   status,
	})
}

// storedValue is the JSON form of a stored resource. The UID and the revision are not part of it: the
// platform assigns them to the object.
type storedValue struct {
	v1.TypeMeta
	Metadata storedMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   v1.Status       `json:"status,omitzero"`
}

type storedMetadata struct {
	Name       string `json:"name"`
	Generation int64  `json:"generation"`
}

// retry calls step until it succeeds, fails with an error that can't be retried, or ctx ends. It returns the
// last error of step, also when ctx ends.
func retry[T any](ctx context.Context, step func() (T, error)) (T, error) {
	var lastErr error
	value, err := backoff.Retry(ctx, func() (T, error) {
		value, err := step()
		lastErr = err
		permanent := (*backoff.PermanentError)(nil)
		if err != nil && !isRetriable(err) && !errors.As(err, &permanent) {
			err = backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(&backoff.ExponentialBackOff{
		InitialInterval:     retryInitialInterval,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         retryMaxInterval,
	}), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() != nil && lastErr != nil {
		err = lastErr
	}
	return value, err
}

func isRetriable(err error) bool {
	unavailable := errors.Is(err, objects.ErrUnavailable) || errors.Is(err, objects.ErrUnknownOutcome)
	return unavailable || objects.IsConflict(err)
}

const (
	retryInitialInterval = 50 * time.Millisecond
	retryMaxInterval     = 2 * time.Second
)
