package host

import (
	"errors"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// record counts the end of a request.
func (h *Host) record(r *request, err error) {
	took := h.now().Sub(r.arrived)
	var known *errkind.Error
	if err == nil || errors.As(err, &known) {
		h.metrics.observe(r.service.terms.Name, string(r.terms.Access), took)
	}
}
