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
	globals *globals
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
	findings = append(findings, validateWith(documents, stored)...)
	if len(findings) > 0 {
		findings.Sort()
		return c.globals.printFindings(findings, len(documents))
	}
	changes := slices.DeleteFunc(compareAll(documents, stored), func(each change) bool { return each.Kind == changeExtra })
	if !c.DryRun {
		err = a.applyAll(ctx, documents, stored, changes)
	}
	if printed := c.globals.printChanges(changes); printed != nil {
		return printed
	}
	if err != nil {
		return err
	}
	return conflictExit(changes)
}

func conflictExit(changes []change) error {
	for _, each := range changes {
		if each.Kind == changeConflict {
			return exitError{ExitConflict}
		}
	}
	return nil
}

// validateWith validates the documents together with the stored resources that they don't replace,
// and returns the findings of the documents only.
func validateWith(documents []v1.Document, stored []storedResource) v1.Findings {
	all := slices.Clone(documents)
	files := map[string]bool{}
	replaced := map[v1.ResourceKey]bool{}
	for _, document := range documents {
		files[document.File] = true
		replaced[document.Key()] = true
	}
	for _, each := range stored {
		if each.document != nil && !replaced[each.document.Key()] {
			all = append(all, *each.document)
		}
	}
	return slices.DeleteFunc(v1.Validate(all), func(finding v1.Finding) bool { return !files[finding.File] })
}

// applier writes changes one after the other.
type applier struct {
	client *platformhttp.Client
}

// applyAll carries the changes out and notes their results. A conflict ends only its own change;
// an error ends all.
func (a *applier) applyAll(ctx context.Context, documents []v1.Document, stored []storedResource, changes []change) error {
	present := map[v1.ResourceKey]storedResource{}
	for _, each := range stored {
		present[v1.ResourceKey{Kind: each.object.Kind, Name: each.object.Name}] = each
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

// applyOne writes one document over the state that it was compared with. The write is tried again
// where that can't do harm: after a refusal, and over a newer revision that has the same spec,
// such as one in which only the status changed.
func (a *applier) applyOne(ctx context.Context, document v1.Document, base storedResource, result *change) error {
	expected := base
	object, err := retry(ctx, func() (objects.Object, error) {
		value, err := valueOf(document, expected)
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
		return a.resolve(ctx, document, base, &expected, err)
	})
	if raced := (*raceError)(nil); errors.As(err, &raced) {
		result.Kind, result.Present, result.Message = changeConflict, raced.present, raced.Error()
		result.Fields = raced.fields
		return nil
	}
	result.Revision = object.Revision
	return err
}

// raceError reports that somebody else changed the spec since it was read.
type raceError struct {
	expected, present int64
	fields            []fieldChange
}

// Error implements error.
func (r *raceError) Error() string {
	return fmt.Sprintf("was at revision %d, somebody else made it revision %d", r.expected, r.present)
}

// resolve finds out what a conflict or a lost answer means, by reading the object.
func (a *applier) resolve(ctx context.Context, document v1.Document, base storedResource, expected *storedResource, cause error) (objects.Object, error) {
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
		return object, nil // an earlier try of this apply, or somebody with the same wish
	case sameState(base, present):
		*expected = present
		return objects.Object{}, cause
	}
	raced := &raceError{expected: base.object.Revision, present: object.Revision}
	if present.document != nil {
		raced.fields = fieldChanges(present.document.Resource, document.Resource)
	}
	return objects.Object{}, backoff.Permanent(raced)
}

// sameState tells whether the stored spec is still the one that was compared.
func sameState(base, present storedResource) bool {
	if base.document == nil || present.document == nil {
		return base.object.Revision == present.object.Revision
	}
	return base.object.UID == present.object.UID && sameSpec(base.document.Resource, present.document.Resource)
}

// valueOf returns the value to store: the document's spec with the next generation, and the status
// that the system wrote.
func valueOf(document v1.Document, base storedResource) ([]byte, error) {
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

// storedValue is a resource as the platform keeps it; the platform adds UID and revision.
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

// retry calls step until it succeeds, fails for good or ctx ends; then it returns step's last error.
func retry[T any](ctx context.Context, step func() (T, error)) (T, error) {
	var last error
	value, err := backoff.Retry(ctx, func() (T, error) {
		value, err := step()
		last = err
		permanent := (*backoff.PermanentError)(nil)
		if err != nil && !isRetriable(err) && !errors.As(err, &permanent) {
			err = backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(&backoff.ExponentialBackOff{
		InitialInterval:     retryInitial,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         retryLongest,
	}), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() != nil && last != nil {
		err = last
	}
	return value, err
}

func isRetriable(err error) bool {
	lost := errors.Is(err, objects.ErrUnavailable) || errors.Is(err, objects.ErrUnknownOutcome)
	return lost || objects.IsConflict(err)
}

const (
	retryInitial = 50 * time.Millisecond
	retryLongest = 2 * time.Second
)
