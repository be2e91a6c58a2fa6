package submission

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
)

// Store reads and writes the configuration.
type Store struct{ KeyValue port.KeyValue }

// Load returns the current document and the revision at which it was stored. The
// document has version 0 if none is stored yet.
func (s *Store) Load(ctx context.Context) (config.Document, int64, error) {
	entry, err := s.KeyValue.Get(ctx, Key)
	if err != nil {
		return config.Document{}, 0, fmt.Errorf("read configuration: %w", err)
	}
	e, err := decodeEntry(entry)
	if err != nil {
		return config.Document{}, 0, fmt.Errorf("read configuration: %w", err)
	}
	return e.Document, entry.Revision, nil
}

func decodeEntry(e port.Entry) (Envelope, error) {
	if e.Revision == 0 {
		return Envelope{}, nil
	}
	return DecodeEnvelope(e.Value)
}

// Submit stores the document if its base is the current version. After a lost
// response it reads the stored value to determine the outcome. It retries until
// ctx is done, so ctx needs a deadline. An error means that this call stored
// nothing.
func (s *Store) Submit(ctx context.Context, r Request) (Outcome, error) {
	if r.ID == "" {
		return nil, errors.New("submit: an id is required")
	}
	if err := r.Document.Validate(); err != nil {
		return nil, fmt.Errorf("submit: %w", err)
	}
	a := attempt{store: s, request: r, uncertain: r.Resubmitted}
	outcome, err := backoff.Retry(ctx, func() (outcome Outcome, err error) {
		outcome, err = a.try(ctx)
		if err != nil && (a.failure == nil || ctx.Err() == nil) {
			a.failure = err
		}
		return outcome, err
	},
		backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil:
		return outcome, nil
	case a.uncertain:
		return Unknown{}, nil
	case ctx.Err() != nil && a.failure != nil:
		// The cause of the failed tries is more useful than the context's error.
		return nil, fmt.Errorf("submit: gave up: %w", a.failure)
	default:
		return nil, fmt.Errorf("submit: %w", err)
	}
}

// newBackOff returns a back-off that starts near the response time of the platform
// and stays below the time in which an operator expects an answer. The jitter
// keeps operators that submit concurrently from colliding again.
func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	b.RandomizationFactor = 0.5
	return b
}

// attempt is the state of one call of Submit across its tries.
type attempt struct {
	store   *Store
	request Request
	// uncertain is set if an earlier write may still take effect, or may have taken
	// effect without a response.
	uncertain bool
	// failure is the error of the last try that failed before ctx ended, or of the
	// first try if none did.
	failure error
}

// try reads the current version and, if it is the base, writes once. A returned
// error is retried.
func (a *attempt) try(ctx context.Context) (Outcome, error) {
	entry, err := a.store.KeyValue.Get(ctx, Key)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	e, err := decodeEntry(entry)
	if err != nil {
		// Reading again can't repair the value.
		return nil, backoff.Permanent(fmt.Errorf("read configuration: %w", err))
	}
	if accepted, ok := e.find(a.request.ID); ok {
		return accepted, nil
	}
	if e.Version != a.request.Base {
		if a.uncertain && e.mayHaveDropped(a.request.Base) {
			return Unknown{}, nil
		}
		// All writes with this ID require the revision of the base version, so
		// writes that are still in flight can no longer take effect.
		document, kept := a.request.merge(e.Document)
		return Conflict{Current: e.Document, Diff: config.Diff(e.Document, document) + kept}, nil
	}
	return a.write(ctx, e, entry.Revision)
}

func (a *attempt) write(ctx context.Context, e Envelope, revision int64) (Outcome, error) {
	next := e.next(a.request, time.Now().UTC())
	value, err := next.encode()
	if err != nil {
		return nil, backoff.Permanent(err)
	}
	result, err := a.store.KeyValue.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: Key, Revision: revision}},
		Writes:     []port.Write{{Key: Key, Value: value}},
	})
	switch {
	case errors.Is(err, port.ErrUnavailable):
		return nil, fmt.Errorf("write configuration: %w", err)
	case err != nil:
		// After any other error the write may have taken effect, as after a lost
		// response.
		a.uncertain = true
		return nil, fmt.Errorf("write configuration: %w", err)
	case !result.Committed:
		return nil, errors.New("write configuration: changed by another submit")
	}
	accepted, _ := next.find(a.request.ID)
	return accepted, nil
}
