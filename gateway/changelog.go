package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
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

// Bounds of the lines that decide what has happened.
const (
	// repeatAfter is the time after which a deciding line is written again if others have
	// followed it.
	repeatAfter = 5 * time.Second
	// maxFollowing is how many lines about failed requests may follow a deciding line: a
	// record of an incident keeps few lines of a host, the last ones.
	maxFollowing = 2
)

// logDeciding is logChange for a line that sums up what has happened. It writes the line
// again after repeatAfter if more than maxFollowing lines about failed requests have
// followed it, and returns then.
func (g *Gateway) logDeciding(part string, level slog.Level, msg string, attrs ...any) {
	g.logChange(part, level, msg, attrs...)
	before := g.requestLog.failureLines.Load()
	retry.Wait(g.ctx, repeatAfter)
	if g.ctx.Err() == nil && g.requestLog.failureLines.Load()-before > maxFollowing {
		g.logChange(part, level, msg, attrs...)
	}
}
