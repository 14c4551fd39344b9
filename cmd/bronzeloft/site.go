package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/bronzeloft/bronzeloft/gateway"
	"github.com/bronzeloft/bronzeloft/host"
	"github.com/bronzeloft/bronzeloft/internal/asyncwriter"
	"github.com/bronzeloft/bronzeloft/internal/boottime"
	"github.com/bronzeloft/bronzeloft/platform"
	"github.com/bronzeloft/bronzeloft/settings"
)

// memoryPart is the part of the process's memory that the collector may let
// the heap grow to; the rest is for stacks and the kernel's buffers.
const memoryPart = 0.6

// runSite serves a site whose operator publishes routes, until a signal stops
// the host. SIGHUP reads the settings again and says what it found.
func runSite(set *settings.Host, file string) error {
	out := asyncwriter.New(os.Stdout)
	defer out.Close()
	logger := host.NewLogger(set.Log, out)
	slog.SetDefault(logger)
	runtime.GOMAXPROCS(1) // hosts have one core, and a part of it only
	if set.Site.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.Site.MemoryMB<<20) * memoryPart))
	}
	g := gateway.New(siteOptions(set, logger))
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
		reload(file, logger)
	}
	ctx, cancel := context.WithTimeout(context.Background(), set.Shutdown.Grace)
	defer cancel()
	g.Drain(ctx)
	return nil
}

// siteOptions makes the gateway's options of the settings.
func siteOptions(set *settings.Host, logger *slog.Logger) gateway.Options {
	return gateway.Options{
		Name:       set.Host.ID,
		DataCentre: set.Host.DataCentre,
		Centres:    set.Site.DataCentres,
		Callers:    set.Site.Callers,
		Ready:      set.Site.Ready,
		Peers:      set.Site.Peers,
		Access:     set.Site.Access,
		Metrics:    set.Site.Metrics,
		Grace:      set.Shutdown.Grace,
		MaxCallers: set.Site.MaxCallers,
		Platform: platform.New(platform.StoreConfig{
			BaseURL:   set.Platform.URL,
			Timeout:   set.Platform.Timeout,
			WatchWait: set.Site.WatchWait,
		}, set.Site.PromotionURL, set.Platform.Timeout),
		Logger: logger,
		Now:    boottime.Now,
	}
}

// reload checks changed settings. Addresses and limits of a running process
// stay as they are; a fault is logged while the host serves on.
func reload(file string, logger *slog.Logger) {
	if _, err := settings.Load(file); err != nil {
		logger.Error("Settings are at fault, the former ones stay.", "part", "host", "error", err)
		return
	}
	logger.Info("Settings were read; they count from the next start.", "part", "host")
}
