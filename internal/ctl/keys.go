package ctl

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/keys"
)

// keysCommand groups the commands for keys.
type keysCommand struct{}

func (a *app) registerKeys(p *flags.Parser) error {
	group, err := p.AddCommand("keys", "Issue, rotate, withdraw and list callers' keys", "", &keysCommand{})
	if err != nil {
		return err
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"issue", "Give a customer another key; all its keys stay valid", &issueCommand{app: a}},
		{"rotate", "Give a customer a second key; withdraw the old one when callers have changed over", &rotateCommand{app: a}},
		{"withdraw", "Withdraw a key, also for open connections", &withdrawCommand{app: a}},
		{"list", "List keys without their secrets", &listCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := group.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// keyOps returns the operations on keys, run as this operator.
func (a *app) keyOps() (*keys.Ops, error) {
	api, err := a.api()
	if err != nil {
		return nil, err
	}
	return &keys.Ops{API: api, Random: a.env.Random, Options: a.publishOptions(0)}, nil
}

// customerArg names one customer.
type customerArg struct {
	Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
}

type issueCommand struct {
	app  *app
	Args customerArg `positional-args:"yes"`
}

// Execute runs the command.
func (c *issueCommand) Execute([]string) error {
	ops, err := c.app.keyOps()
	if err != nil {
		return err
	}
	key, err := ops.Issue(c.app.ctx, c.Args.Customer)
	if err != nil {
		return err
	}
	return c.app.printIssued(key)
}

type rotateCommand struct {
	app  *app
	Args customerArg `positional-args:"yes"`
}

// Execute runs the command.
func (c *rotateCommand) Execute([]string) error {
	ops, err := c.app.keyOps()
	if err != nil {
		return err
	}
	key, err := ops.Rotate(c.app.ctx, c.Args.Customer)
	if err != nil {
		return err
	}
	return c.app.printIssued(key)
}

func (a *app) printIssued(key keys.Issued) error {
	if a.JSON {
		return a.printJSON(key)
	}
	a.printf("%s", key.Plaintext)
	fmt.Fprintf(a.env.Err, "key %s of %s is published in version %d; it is not shown again\n", key.ID, key.Customer, key.Version)
	return nil
}

type withdrawCommand struct {
	app  *app
	Args struct {
		ID string `positional-arg-name:"KEYID" required:"yes"`
	} `positional-args:"yes"`
}

// withdrawn is the JSON output of withdraw.
type withdrawn struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Execute runs the command.
func (c *withdrawCommand) Execute([]string) error {
	ops, err := c.app.keyOps()
	if err != nil {
		return err
	}
	version, err := ops.Withdraw(c.app.ctx, c.Args.ID)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(withdrawn{ID: c.Args.ID, Version: version})
	}
	c.app.printf("key %s is withdrawn as of version %d", c.Args.ID, version)
	return nil
}

type listCommand struct {
	app      *app
	Customer string `long:"customer" description:"keys of this customer only"`
}

// Execute runs the command.
func (c *listCommand) Execute([]string) error {
	_, snap, err := c.app.published()
	if err != nil {
		return err
	}
	if snap == nil {
		return contract.ErrNotPublished
	}
	infos, err := keys.List(snap, c.Customer)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(append([]keys.Info{}, infos...))
	}
	var rows [][]string
	for _, k := range infos {
		rows = append(rows, []string{k.Customer, k.ID, keyState(k)})
	}
	return c.app.table([]string{"CUSTOMER", "KEY", "STATE"}, rows)
}

func keyState(k keys.Info) string {
	if k.Withdrawn {
		return "withdrawn"
	}
	return "valid"
}
