package settings

import (
	"fmt"
	"strings"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// reader fills a Host from a document according to the table of fields.
type reader struct {
	root     *tomlread.Table
	host     *Host
	sections map[string]*tomlread.Table
}

// readAll reads every field, then reports the unknown keys.
func (r *reader) readAll() {
	for i := range fields {
		r.read(&fields[i])
	}
	for _, s := range r.sections {
		s.Close()
	}
	r.root.Close()
}

// section returns the table of a field's section and the field's name in it.
func (r *reader) section(key string) (*tomlread.Table, string) {
	section, name, _ := strings.Cut(key, ".")
	t, ok := r.sections[section]
	if !ok {
		t = r.root.Table(section)
		r.sections[section] = t
	}
	return t, name
}

func (r *reader) read(f *field) {
	t, name := r.section(f.key)
	switch {
	case f.text != nil && f.textDef == required:
		*f.text(r.host) = t.Required(name, f.textRule)
	case f.text != nil:
		*f.text(r.host) = t.String(name, f.textDef, f.textRule)
	case f.list != nil:
		*f.list(r.host) = t.Strings(name, f.listRule)
	case f.number != nil:
		*f.number(r.host) = t.Int(name, f.numDef, f.numLo, f.numHi)
	case f.float != nil:
		*f.float(r.host) = t.Float(name, f.floatDef, f.floatLo, f.floatHi)
	case f.duration != nil:
		*f.duration(r.host) = t.Duration(name, f.durDef, f.durLo, f.durHi)
	case f.secret != nil:
		*f.secret(r.host) = Secret(t.Secret(name))
	}
}

// checkAll runs the checks that involve several fields, and sets Peers.Advertise to
// its default.
func (r *reader) checkAll() {
	h := r.host
	r.checkTLS("callers", h.Callers.Listen, map[string]string{"tls_cert": h.Callers.TLSCert, "tls_key": h.Callers.TLSKey})
	r.checkTLS("peers", h.Peers.Listen, map[string]string{"tls_cert": h.Peers.TLSCert, "tls_key": h.Peers.TLSKey, "tls_ca": h.Peers.TLSCA})
	if h.Peers.Advertise == "" {
		h.Peers.Advertise = h.Peers.Listen
	}
	if !isDialAddr(h.Peers.Advertise) {
		r.sections["peers"].Fault("advertise", fmt.Sprintf("%q", h.Peers.Advertise), "an address that other hosts can dial; peers.listen, its default, is not one")
	}
	if h.Site.Callers != "" && h.Site.PromotionURL == "" {
		r.sections["site"].Fault("promotion_url", "nothing", urlRule.Allowed+", since site.callers is set")
	}
	if h.Databases.SuspectAfter <= h.Databases.ProbeInterval {
		r.sections["databases"].Fault("suspect_after", h.Databases.SuspectAfter.String(), "longer than probe_interval, "+h.Databases.ProbeInterval.String())
	}
}

// checkTLS requires all TLS files of a listener or none of them; none is allowed
// on loopback only.
func (r *reader) checkTLS(section, listen string, files map[string]string) {
	t := r.sections[section]
	var missing []string
	for _, name := range []string{"tls_cert", "tls_key", "tls_ca"} {
		if file, wanted := files[name]; wanted && file == "" {
			missing = append(missing, name)
		}
	}
	switch {
	case len(missing) == 0:
	case len(missing) < len(files):
		for _, name := range missing {
			t.Fault(name, "nothing", "all TLS files of ["+section+"] together, or none")
		}
	case !isLoopback(listen):
		t.Fault("listen", fmt.Sprintf("%q without TLS files", listen), "plain TCP on loopback only; set the TLS files of ["+section+"]")
	}
}
