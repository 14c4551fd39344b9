package settings

import (
	"net/netip"
	"net/url"
	"regexp"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)

// Rules for settings that hold strings.
var (
	nameRule   = tomlread.Text{Allowed: "1 to 64 lower-case letters, digits and '-'", Valid: namePattern.MatchString}
	listenRule = tomlread.Text{Allowed: "IP:port", Valid: isListenAddr}
	dialRule   = tomlread.Text{Allowed: "IP:port of one host", Valid: isDialAddr}
	fileRule   = tomlread.Text{Allowed: "path of a PEM file"}
	textRule   = tomlread.Text{Allowed: "a text that is not empty", Valid: func(s string) bool { return s != "" }}
	urlRule    = tomlread.Text{Allowed: "http:// or https:// URL", Valid: isURL}
)

func isListenAddr(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Addr().IsValid()
}

func isDialAddr(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && !ap.Addr().IsUnspecified() && ap.Port() != 0
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// isLoopback reports whether s listens on loopback only.
func isLoopback(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Addr().IsLoopback()
}
