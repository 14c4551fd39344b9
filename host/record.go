package host

import (
	"errors"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/report"
)

// record counts the end of a request. A caller that went away is not counted.
func (h *Host) record(r *request, err error) {
	now := h.now()
	took := now.Sub(r.arrived)
	outcome := report.OK
	var known *errkind.Error
	switch {
	case err == nil:
	case errors.As(err, &known):
		outcome = report.Failed(known.Kind)
	default:
		return
	}
	h.metrics.observe(r.service.terms.Name, string(r.terms.Access), took)
	customer := r.customerID()
	if customer == "" {
		customer = OpenCustomer
	}
	h.burn.Record(now, customer, outcome, took)
}
