package statement

import (
	"errors"
	"fmt"
)

// ErrMismatch reports an answer that cannot be that to the statement which was sent,
// such as a late or repeated answer to an earlier one.
var ErrMismatch = errors.New("statement: answer does not match the statement")

// shape is what a successful answer to a statement contains.
type shape struct {
	signed  bool // the database signs the statements that it runs for callers
	minRows int
	maxRows int
	state   State // after the statement
	keeps   bool  // the state stays as it was before the statement; state is not used
}

const anyRows = 1 << 30

var shapes = map[Kind]shape{
	Begin:      {state: Open},
	BeginRead:  {state: Open},
	Commit:     {signed: true, state: Idle},
	Rollback:   {state: Idle},
	Read:       {signed: true, maxRows: anyRows, keeps: true},
	Write:      {signed: true, keeps: true},
	Set:        {keeps: true},
	Prepare:    {keeps: true},
	Execute:    {signed: true, maxRows: anyRows, keeps: true},
	Deallocate: {keeps: true},
	Reset:      {keeps: true},
	Status:     {minRows: 1, maxRows: 1, keeps: true},
	Pause:      {minRows: 1, maxRows: 1, keeps: true},
	Resume:     {minRows: 1, maxRows: 1, keeps: true},
}

// Check returns an error that wraps ErrMismatch if a cannot be a database's answer to
// a statement of the given kind on a connection that was in the state before. Nothing
// is known then of the statement's outcome, and the connection is unusable.
func (a Answer) Check(kind Kind, before State) error {
	if a.Err != nil {
		if before == Idle && a.State != Idle {
			return fmt.Errorf("%w: %s failed and left a transaction open", ErrMismatch, kind)
		}
		return nil
	}
	want := shapes[kind]
	state := want.state
	if want.keeps {
		state = before
	}
	switch {
	case want.signed != (a.Signature != ""):
		return fmt.Errorf("%w: signature %q for %s", ErrMismatch, a.Signature, kind)
	case len(a.Rows) < want.minRows || len(a.Rows) > want.maxRows:
		return fmt.Errorf("%w: %d rows for %s", ErrMismatch, len(a.Rows), kind)
	case a.State != state || a.State == Failed:
		return fmt.Errorf("%w: transaction state %d after %s", ErrMismatch, a.State, kind)
	}
	return nil
}
