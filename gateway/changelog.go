package gateway

import (
	"context"
	"log/slog"

	"github.com/bronzeloft/bronzeloft/internal/buildinfo"
)

// logFirst logs a line whose own attributes come before the host and the part, so that a
// record that cuts its lines keeps them.
func (g *Gateway) logFirst(part string, level slog.Level, msg string, attrs ...any) {
	g.opt.Logger.Log(context.Background(), level, msg, append(attrs, "host", g.opt.Name, "part", part)...)
}

// logChange is logFirst with the build of this host.
func (g *Gateway) logChange(part string, level slog.Level, msg string, attrs ...any) {
	g.logFirst(part, level, msg, append(attrs, "build", buildinfo.Short())...)
}
