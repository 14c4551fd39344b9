// Command bronzeloft-measure runs the project's measurements, each in the same run
// as its baselines.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/bronzeloft/bronzeloft/internal/measure"
	"github.com/bronzeloft/bronzeloft/internal/measure/evaluation"
)

// usersCommand implements the subcommand users.
type usersCommand struct {
	Out   string `long:"out" value-name:"DIR" description:"write results.json, table.txt and the charts to DIR"`
	Quick bool   `long:"quick" description:"make shorter runs"`
	PNG   bool   `long:"png" description:"write the charts as PNG, too"`
}

// Execute runs the simulations and prints the table. With --out it also saves the
// results and the charts.
func (c *usersCommand) Execute([]string) error {
	plan := evaluation.Full()
	if c.Quick {
		plan = evaluation.Quick()
	}
	results := evaluation.Run(plan)
	if err := results.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.Out == "" {
		return nil
	}
	formats := []string{"svg"}
	if c.PNG {
		formats = append(formats, "png")
	}
	return results.Save(c.Out, formats...)
}

// capacityCommand implements the subcommand capacity.
type capacityCommand struct{}

// Execute measures one host on this machine and prints, as JSON, the slopes from
// which the figures of docs/CAPACITY.md are computed.
func (*capacityCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := measure.MeasureCapacity(ctx)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(c)
}

type options struct {
	Users    usersCommand    `command:"users" description:"measure reads on replicas, failover, customers' waits and wrongful refusals"`
	Capacity capacityCommand `command:"capacity" description:"measure what one host carries"`
}

func main() {
	var opts options
	p := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	_, err := p.Parse()
	var fe *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
