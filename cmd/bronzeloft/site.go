package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/bronzeloft/bronzeloft/gateway"
	"github.com/bronzeloft/bronzeloft/host"
	"github.com/bronzeloft/bronzeloft/internal/asyncwriter"
	"github.com/bronzeloft/bronzeloft/internal/boottime"
	"github.com/bronzeloft/bronzeloft/platform"
	"github.com/bronzeloft/bronzeloft/settings"
)

// memoryShare is the share of the process's memory that is set as the Go runtime's
// memory limit, up to which the collector lets the heap grow. The rest is headroom:
// the limit is soft, and it does not count the kernel's buffers.
const memoryShare = 0.6

// runSite serves a site whose operator publishes routes, until a signal stops
// the host. On SIGHUP it checks the settings file again and logs the result.
func runSite(cfg *settings.Host, file string) error {
	out := asyncwriter.New(os.Stdout)
	defer out.Close()
	logger := host.NewLogger(cfg.Log, out)
	slog.SetDefault(logger)
	runtime.GOMAXPROCS(1) // a host is allotted a fraction of one core
	if cfg.Site.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.Site.MemoryMB<<20) * memoryShare))
	}
	g := gateway.New(siteOptions(cfg, logger))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := g.Start(); err != nil {
		return err
	}
	defer g.Close()
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		checkSettings(file, logger)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Shutdown.Grace)
	defer cancel()
	g.Drain(ctx)
	return nil
}

// siteOptions returns the gateway's options for the settings.
func siteOptions(cfg *settings.Host, logger *slog.Logger) gateway.Options {
	return gateway.Options{
		Name:       cfg.Host.ID,
		DataCentre: cfg.Host.DataCentre,
		Centres:    cfg.Site.DataCentres,
		Callers:    cfg.Site.Callers,
		Ready:      cfg.Site.Ready,
		Peers:      cfg.Site.Peers,
		Access:     cfg.Site.Access,
		Metrics:    cfg.Site.Metrics,
		Grace:      cfg.Shutdown.Grace,
		MaxCallers: cfg.Site.MaxCallers,
		Capacity:   cfg.Site.CPUShare,

		CallerMemory:   callerMemory(cfg.Site),
		MessageTimeout: cfg.Site.MessageTimeout,

		DatabaseDrain: cfg.Site.DatabaseDrain,
		Features:      platform.Features(cfg.Site.Contracts),
		Evacuation:    cfg.Site.Evacuation,
		ColdOverage:   cfg.Site.ColdOverage,
		ColdSlack:     cfg.Site.ColdSlack,
		Platform: platform.New(platform.StoreConfig{
			BaseURL:   cfg.Platform.URL,
			Timeout:   cfg.Platform.Timeout,
			WatchWait: func() time.Duration { return gateway.WatchWait(cfg.Site.WatchWait) },
		}, cfg.Site.PromotionURL, cfg.Platform.Timeout),
		Logger: logger,
		Now:    boottime.Now,
	}
}

// Memory for callers' messages and session state where the settings name none.
const (
	callerMemoryShare     = 0.25 // of the process's memory
	callerMemoryUnlimited = 256 << 20
)

// callerMemory returns the memory for callers' messages and session state, in bytes.
func callerMemory(cfg settings.Site) int64 {
	switch {
	case cfg.CallerMemoryMB > 0:
		return int64(cfg.CallerMemoryMB) << 20
	case cfg.MemoryMB > 0:
		return int64(callerMemoryShare * float64(cfg.MemoryMB<<20))
	}
	return callerMemoryUnlimited
}

// checkSettings checks the settings file and logs whether it is valid. The
// host keeps serving with the settings read at its start in either case.
func checkSettings(file string, logger *slog.Logger) {
	if _, err := settings.Load(file); err != nil {
		logger.Error("Settings file is invalid, the running settings are unchanged.", "part", "host", "error", err)
		return
	}
	logger.Info("Settings file is valid, changes take effect at the next start.", "part", "host")
}
