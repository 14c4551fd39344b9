package host

import (
	"errors"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/report"
)

// recordOutcome counts a finished request in the metrics and in the burn rates.
// A request whose error has no kind, such as a failure of the caller's connection,
// is not counted.
func (h *Host) recordOutcome(r *request, err error) {
	now := h.now()
	took := now.Sub(r.arrived)
	outcome := report.OK
	var kindErr *errkind.Error
	switch {
	case err == nil:
	case errors.As(err, &kindErr):
		outcome = report.Failed(kindErr.Kind)
	default:
		return
	}
	h.metrics.observe(r.service.spec.Name, string(r.spec.Access), took)
	customer := r.customerID()
	if customer == "" {
		customer = OpenCustomer
	}
	h.burn.Record(now, customer, outcome, took)
}
