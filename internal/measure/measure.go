// Package measure runs the measurements that docs/CAPACITY.md and
// docs/PROMISES.md cite, each in the same run as its baselines.
package measure

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
	"github.com/bronzeloft/bronzeloft/internal/standin/dbserver"
)

// discardLogger discards the log records of the hosts under measurement.
var discardLogger = slog.New(slog.DiscardHandler)

// startSite starts one host that serves the given number of groups, each of three
// databases, and waits until it is ready. The customer's rate and burst are too high
// to limit anything. If tap is set, it is called with all bytes that databases
// receive, from several goroutines. The caller closes the site.
func startSite(ctx context.Context, groups int, tap func([]byte)) (*loopback.Site, loopback.Key, error) {
	key := loopback.MustKey("shop")
	snap := loopback.OneService(key.Stored)
	snap.Version = 1
	snap.Customers[0].Rate = 1e9
	snap.Customers[0].Burst = 1e9
	snap.Services[0].MaxConns = 300
	snap.Services[0].Slots = 200
	first := snap.Services[0]
	for g := 1; g < groups; g++ {
		snap.Services = append(snap.Services, renamedService(first, g))
	}
	site, err := loopback.Start(loopback.Config{
		Hosts:    1,
		Snapshot: snap,
		Logger:   discardLogger,
		Database: func(_ string, cfg *dbserver.Config) { cfg.Tap = tap },
	})
	if err != nil {
		return nil, key, err
	}
	site.Hosts[0].Offer(site.Snapshot, "measure")
	if err := site.WaitReady(ctx, 1); err != nil {
		site.Close()
		return nil, key, err
	}
	return site, key, nil
}

// renamedService returns a copy of svc under another name, with its own group and
// databases.
func renamedService(svc contract.Service, n int) contract.Service {
	svc.Name = fmt.Sprintf("%s%d", svc.Name, n)
	svc.Group = svc.Name
	dbs := make([]contract.Database, len(svc.Databases))
	for i, db := range svc.Databases {
		dbs[i] = contract.Database{ID: fmt.Sprintf("%s-%d", svc.Name, i+1), DataCentre: db.DataCentre}
	}
	svc.Databases = dbs
	return svc
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap spans and of stacks in use after a garbage
// collection. It collects twice, because a sync.Pool keeps its objects for one
// collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// slope returns the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// connectURL returns the URL with which the customer shop connects to the host.
// Options, each after an "&", are appended to the query string.
func connectURL(site *loopback.Site, key, options string) string {
	return fmt.Sprintf("postgres://shop:%s@%s/orders?sslmode=disable%s", key, site.Hosts[0].CallerAddr(), options)
}

// createOrders creates the table orders with one row, id 1.
func createOrders(ctx context.Context, url string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, sql := range []string{"CREATE TABLE orders (id INTEGER PRIMARY KEY, tiles INTEGER)", "INSERT INTO orders VALUES (1, 10)"} {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return err
		}
	}
	return nil
}
