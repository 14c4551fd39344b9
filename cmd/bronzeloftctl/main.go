// Command bronzeloftctl is the operators' command-line tool.
package main

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/ctl"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/platform"
)

// Limits on the rate of one command's calls to the platform.
const (
	callsPerSecond = 100
	callBurst      = 200
)

// hostTimeout bounds one call to a host.
const hostTimeout = 5 * time.Second

// storeTimeout bounds one call to the metadata store of a platform site.
const storeTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], ctl.Env{
		Out:    os.Stdout,
		Err:    os.Stderr,
		Now:    time.Now,
		Random: rand.Reader,
		API:    newAPI,
		Store:  newStore,
		HTTP:   &http.Client{Timeout: hostTimeout},
	})
	stop()
	os.Exit(code)
}

func newAPI(baseURL string) objectapi.API {
	return objectapi.NewClient(objectapi.ClientConfig{BaseURL: baseURL, CallsPerSecond: callsPerSecond, Burst: callBurst})
}

func newStore(baseURL string) ctl.SiteStore {
	return platform.NewStore(platform.StoreConfig{BaseURL: baseURL, Timeout: storeTimeout})
}
