package contract

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// DefaultAttempts is the default of PublishOptions.Attempts.
const DefaultAttempts = 8

// First and longest pause of the backoff between attempts.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

// PublishOptions identifies the operator and the version that they edited, and
// controls the attempts.
type PublishOptions struct {
	Base     uint64 // version that the operator's change is based on; 0 for none
	Operator string // shown to other operators in a ConflictError
	Attempts int    // 0 means DefaultAttempts; attempts refused by the call budget do not count

	// Above makes the new version greater than Above. If the version in force is
	// lower than Above, the new one is published even if nothing else changes.
	// Hosts accept only higher versions, so this is needed after the platform was
	// restored with an older head than the hosts use.
	Above uint64

	// NewID returns a unique publish id; nil means a random UUID.
	NewID func() string
	// Now is the operator's clock; nil means time.Now.
	Now func() time.Time
	// Pause waits before another attempt; its error ends the attempts. nil means an
	// exponential backoff with jitter.
	Pause func(context.Context) error
}

// Result is the outcome of Publish or Edit.
type Result struct {
	Version   uint64   `json:"version"`   // version of this publication, or the version in force when nothing was published
	Changes   []Change `json:"changes"`   // against the previous version; may be empty for a version raised by Above
	PublishID string   `json:"publishId"` // "" when nothing was published
	Recovered bool     `json:"recovered"` // the platform's answer was lost and the outcome read from the head
	Chunks    int      `json:"chunks"`    // chunks written
}

// ConflictError reports that another operator published since the version that
// the operator's change is based on.
type ConflictError struct {
	Base     uint64   // version that the operator's change is based on
	Current  uint64   // version in force
	Operator string   // operator who published Current
	Changes  []Change // from Base to Current; nil when Base is not in the publication history
}

// Error lists the changes since Base, one per line.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "contract: version %d, published by %s, is in force instead of %d", e.Current, e.Operator, e.Base)
	for _, c := range e.Changes {
		b.WriteString("\n" + c.String())
	}
	return b.String()
}

// UnknownError reports that the platform's answer to an update of the head was lost
// and no later attempt settled the outcome, for example because the head could not
// be read back. The head's publication history shows later whether PublishID took
// effect.
type UnknownError struct {
	PublishID string
	Err       error
}

// Error includes the publish id.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("contract: outcome of publication %s is unknown: %v", e.PublishID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Publish checks snap and puts it in force as the next version, by one
// conditional update of the head object. Keys are copied from the version in force
// and those of snap are ignored, except in the first version: keys change only
// through Edit, so Publish cannot reinstate a withdrawn one.
//
// It returns tomlread.Faults if the snapshot is invalid, *ConflictError if the
// version in force differs from Base in more than keys and snap would change it,
// *UnknownError if the outcome is not known, or the platform's error if nothing was
// published.
func Publish(ctx context.Context, api objectapi.API, snap *Snapshot, opts PublishOptions) (Result, error) {
	p := newPublisher(api, opts)
	return p.run(ctx, func(ctx context.Context, cur *current) (*Snapshot, error) {
		next := Preview(cur.snap, snap)
		if err := p.checkBase(ctx, cur, next); err != nil {
			return nil, err
		}
		return next, nil
	})
}

// Preview returns the snapshot that Publish would put in force for snap when
// inForce, which may be nil, is the current one. The Diff of inForce and the result
// shows an operator what would change.
func Preview(inForce, snap *Snapshot) *Snapshot {
	next := normalised(snap)
	if inForce != nil {
		carryKeys(inForce, next)
	}
	return next
}

// Edit changes the snapshot in force by a conditional update. It passes a copy to
// change, and calls change again with a newer copy if another operator published in
// the meantime. The copy shares DataCentres and each service's Databases and Requests
// with the snapshot in force: change may replace these lists but not modify them. An
// error of change is returned unchanged. Edit does not use opts.Base. It returns
// ErrNotPublished if nothing is published.
func Edit(ctx context.Context, api objectapi.API, opts PublishOptions, change func(*Snapshot) error) (Result, error) {
	p := newPublisher(api, opts)
	return p.run(ctx, func(_ context.Context, cur *current) (*Snapshot, error) {
		if cur.snap == nil {
			return nil, ErrNotPublished
		}
		next := normalised(cur.snap)
		return next, change(next)
	})
}

// current is the version in force. It is the zero value when nothing is published.
type current struct {
	snap          *Snapshot
	head          *Head
	objectVersion uint64
}

func (c *current) version() uint64 {
	if c.head == nil {
		return 0
	}
	return c.head.Version
}

// publisher is one run of Publish or Edit.
type publisher struct {
	api        objectapi.API
	fetch      *Fetcher
	opts       PublishOptions
	id         string
	lostAnswer error // error of a head update that may have taken effect
}

func newPublisher(api objectapi.API, opts PublishOptions) *publisher {
	if opts.Attempts == 0 {
		opts.Attempts = DefaultAttempts
	}
	if opts.NewID == nil {
		opts.NewID = uuid.NewString
	}
	if opts.Pause == nil {
		opts.Pause = newPause()
	}
	return &publisher{api: api, fetch: NewFetcher(api), opts: opts, id: opts.NewID()}
}

func newPause() func(context.Context) error {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, maxPause
	return func(ctx context.Context) error {
		timer := time.NewTimer(b.NextBackOff())
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		}
	}
}

// makeNext returns the snapshot to publish as the successor of the current one.
type makeNext func(context.Context, *current) (*Snapshot, error)

// run repeats the attempt until one succeeds or fails with a final error, or the
// attempts are used up. An attempt that fails because the call budget is exhausted
// does not count; only ctx limits the number of such attempts.
func (p *publisher) run(ctx context.Context, next makeNext) (Result, error) {
	var last error
	for attempts := 0; attempts < p.opts.Attempts; {
		res, err := p.attempt(ctx, next)
		if err == nil || isFinal(err) {
			return res, err
		}
		last = err
		if !errors.Is(err, objectapi.ErrBudget) {
			attempts++
		}
		if p.opts.Pause(ctx) != nil {
			break
		}
	}
	if p.lostAnswer != nil {
		return Result{}, &UnknownError{PublishID: p.id, Err: last}
	}
	return Result{}, last
}

// retryable marks an error of the platform after which the attempt is repeated.
type retryable struct{ error }

// Unwrap returns the platform's error.
func (r retryable) Unwrap() error { return r.error }

func isFinal(err error) bool {
	var r retryable
	return !errors.As(err, &r)
}

// attempt reads the version in force, makes the next snapshot and publishes it.
func (p *publisher) attempt(ctx context.Context, next makeNext) (Result, error) {
	cur, err := p.current(ctx)
	if err != nil {
		return Result{}, err
	}
	if own := p.ownPublication(cur); own != nil {
		return p.recovered(ctx, cur, own)
	}
	snap, err := next(ctx, cur)
	if err != nil {
		return Result{}, err
	}
	changes := Diff(cur.snap, snap)
	if len(changes) == 0 && cur.version() >= p.opts.Above {
		return Result{Version: cur.version()}, nil
	}
	assignVersions(cur, snap, changes, p.now())
	snap.Version = max(snap.Version, p.opts.Above+1)
	if err := tomlread.Faults(Check(snap)).Err(); err != nil {
		return Result{}, err
	}
	written, err := p.write(ctx, cur, snap)
	if err != nil {
		return Result{}, err
	}
	return Result{Version: snap.Version, Changes: changes, PublishID: p.id, Chunks: written}, nil
}

// assignVersions sets the versions of snap and of its roster, and the roster's
// former hosts.
func assignVersions(cur *current, snap *Snapshot, changes []Change, now time.Time) {
	snap.Version = cur.version() + 1
	snap.Roster.Version = 1
	if cur.snap == nil {
		return
	}
	snap.Roster.Version = cur.snap.Roster.Version
	snap.Roster.Former = formerHosts(cur.snap.Roster, snap.Roster, now)
	if slices.ContainsFunc(changes, func(c Change) bool { return c.Item == ItemHost }) {
		snap.Roster.Version++
	}
}

func (p *publisher) current(ctx context.Context) (*current, error) {
	head, objectVersion, err := ReadHead(ctx, p.api)
	if errors.Is(err, ErrNotPublished) {
		return &current{}, nil
	}
	if err != nil {
		return nil, platformError(err)
	}
	snap, err := p.fetch.FetchHead(ctx, head)
	if err != nil {
		return nil, platformError(err)
	}
	return &current{snap: snap, head: head, objectVersion: objectVersion}, nil
}

// platformError marks err as retryable unless it reports that published data is
// missing, corrupt or not in the history, which another attempt would not change.
func platformError(err error) error {
	if errors.Is(err, ErrCorrupt) || errors.Is(err, ErrChunkMissing) || errors.Is(err, ErrTooOld) {
		return err
	}
	return retryable{err}
}

// ownPublication finds this run's publication after a lost answer, also if another
// operator has published since. It returns nil if the publication did not take
// effect.
func (p *publisher) ownPublication(cur *current) *Publication {
	if cur.head == nil {
		return nil
	}
	return cur.head.findRecent(func(pub Publication) bool { return pub.PublishID == p.id })
}

// recovered returns the result of a publication whose answer was lost. If the
// version numbered one lower is not in the history, the changes list every item as
// added.
func (p *publisher) recovered(ctx context.Context, cur *current, own *Publication) (Result, error) {
	res := Result{Version: own.Version, PublishID: p.id, Recovered: true}
	mine, err := p.fetch.FetchVersion(ctx, cur.head, own.Version)
	if err != nil {
		return Result{}, platformError(err)
	}
	var before *Snapshot
	if own.Version > 1 {
		before, err = p.fetch.FetchVersion(ctx, cur.head, own.Version-1)
		if err != nil && !errors.Is(err, ErrTooOld) {
			return Result{}, platformError(err)
		}
	}
	res.Changes = Diff(before, mine)
	return res, nil
}

// checkBase returns a *ConflictError if the version in force differs from Base in
// more than keys, unless it already equals next.
func (p *publisher) checkBase(ctx context.Context, cur *current, next *Snapshot) error {
	if cur.version() == p.opts.Base || len(Diff(cur.snap, next)) == 0 {
		return nil
	}
	conflict := &ConflictError{Base: p.opts.Base, Current: cur.version()}
	if cur.head == nil {
		return conflict
	}
	conflict.Operator = cur.head.Operator
	base, err := p.base(ctx, cur)
	if errors.Is(err, ErrTooOld) {
		return conflict
	}
	if err != nil {
		return platformError(err)
	}
	conflict.Changes = Diff(base, cur.snap)
	if OnlyKeys(conflict.Changes) {
		return nil
	}
	return conflict
}

// base returns the snapshot of version Base, nil if Base is 0.
func (p *publisher) base(ctx context.Context, cur *current) (*Snapshot, error) {
	if p.opts.Base == 0 {
		return nil, nil
	}
	return p.fetch.FetchVersion(ctx, cur.head, p.opts.Base)
}

// now returns the time by the operator's clock.
func (p *publisher) now() time.Time {
	if p.opts.Now == nil {
		return time.Now()
	}
	return p.opts.Now()
}
