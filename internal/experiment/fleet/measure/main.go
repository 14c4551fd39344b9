// Command measure measures the cost of the control plane at several fleet sizes,
// and that of the member table at several table sizes, and prints both as JSON.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bronzeloft/bronzeloft/internal/experiment/fleet"
)

type options struct {
	Hosts     []int         `long:"hosts" default:"15" default:"60" default:"240" description:"fleet sizes"`
	Members   []int         `long:"members" default:"256" default:"1024" default:"4100" description:"table sizes"`
	Centres   int           `long:"centres" default:"4" description:"data centres of each fleet"`
	Services  int           `long:"services" default:"3" description:"services in the configuration"`
	Customers int           `long:"customers" default:"8" description:"customers in the configuration"`
	Settle    time.Duration `long:"settle" default:"8s" description:"before the steady window"`
	Window    time.Duration `long:"window" default:"10s" description:"the steady window"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the digests' jitter"`
	PeersOnly bool          `long:"peers-only" description:"without the baseline"`
	PlainText bool          `long:"plaintext" description:"without TLS"`
}

type report struct {
	Fleets []fleet.Result      `json:"fleets"`
	Tables []fleet.TableResult `json:"tables"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	var r report
	for _, hosts := range opts.Hosts {
		for _, baseline := range []bool{false, true} {
			if baseline && opts.PeersOnly {
				continue
			}
			result, err := fleet.Run(fleet.Config{
				Hosts:        hosts,
				Centres:      opts.Centres,
				TLS:          !opts.PlainText,
				WatchPerHost: baseline,
				Services:     opts.Services,
				Customers:    opts.Customers,
				Settle:       opts.Settle,
				Window:       opts.Window,
				Seed:         opts.Seed,
			})
			if err != nil {
				return err
			}
			r.Fleets = append(r.Fleets, result)
		}
	}
	for _, members := range opts.Members {
		r.Tables = append(r.Tables, fleet.MeasureTable(members, 16))
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(r)
}
