package host

import (
	"errors"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// attemptOutcomes combines the outcomes of the attempts of one write.
type attemptOutcomes struct {
	unknown error // error of the last attempt that may have run
}

// merge adds the error of one more attempt and returns the error for the
// caller. Once an attempt may have run, the outcome stays unknown even if a
// later attempt is certain not to have run.
func (o *attemptOutcomes) merge(err error) error {
	if errkind.Of(err) == errkind.OutcomeUnknown {
		o.unknown = err
	}
	var kindErr *errkind.Error
	if o.unknown != nil && !errors.Is(err, errCallerConn) && errors.As(err, &kindErr) && kindErr.Kind.Answer().Outcome == errkind.NotRun {
		return o.unknown
	}
	return err
}

// Retry budget of a customer.
const (
	retryShare = 0.1 // retries per first attempt
	retryBurst = 20  // retries that a customer can save up
)
