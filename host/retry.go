package host

import (
	"errors"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// outcome joins what is known of the tries of one write.
type outcome struct {
	unknown error // of the last try that may have run
}

// add returns what the caller may be told after a further try: once a try may
// have run, a refusal of a later one does not mean that the write did not.
func (o *outcome) add(err error) error {
	if errkind.Of(err) == errkind.OutcomeUnknown {
		o.unknown = err
	}
	var known *errkind.Error
	if o.unknown != nil && !errors.Is(err, errCaller) && errors.As(err, &known) && known.Kind.Answer().Outcome == errkind.NotRun {
		return o.unknown
	}
	return err
}

// Retry budget of one customer.
const (
	retryShare = 0.1 // retries per first try
	retryBurst = 20  // retries at once
)
