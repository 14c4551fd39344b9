// Package ctl implements the operators' command line: it checks and publishes team
// files, manages keys, inspects and drains hosts, and shows and abandons the logs that a
// takeover must read. Clock, output and platform are passed in as an Env.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/keys"
	"github.com/bronzeloft/bronzeloft/internal/tomlread"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // a fault in files, or a refusal
	ExitUsage       = 2 // a wrong command line
	ExitConflict    = 3 // another operator published in the meantime
	ExitUnavailable = 4 // the platform or a host could not be reached, or the outcome is unknown
)

const description = `Operates a fleet of bronzeloft hosts.

Exit codes: 0 done; 1 a fault in the files, or refused; 2 wrong command line;
3 conflict, somebody else published meanwhile; 4 the platform or a host could
not be reached, or the outcome is unknown.`

// Env holds the external dependencies of the commands.
type Env struct {
	Out    io.Writer
	Err    io.Writer
	Now    func() time.Time
	Random io.Reader                          // source of keys
	API    func(baseURL string) objectapi.API // the platform at a URL
	Store  func(baseURL string) SiteStore     // the metadata store of a platform site at a URL
	HTTP   *http.Client                       // for the hosts' admin listeners
	Pause  func(context.Context) error        // between attempts; nil for the default pauses
}

// globals are the flags that every command accepts.
type globals struct {
	Platform string        `long:"platform" env:"BRONZELOFT_PLATFORM" value-name:"URL" description:"base URL of the platform's object API"`
	Operator string        `long:"operator" env:"BRONZELOFT_OPERATOR" value-name:"NAME" default:"unnamed" description:"your name, shown to operators who publish at the same time"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"time for the whole command"`
	JSON     bool          `long:"json" description:"print JSON instead of a table"`
}

// app is one run of the command line.
type app struct {
	globals
	env Env
	ctx context.Context
}

// errRefused is returned by a command that has already printed the reason.
var errRefused = errors.New("refused")

// usageError is an invalid command line that the parser does not detect.
type usageError struct{ message string }

// Error returns the message.
func (e usageError) Error() string { return e.message }

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	a := &app{env: env}
	parser := flags.NewNamedParser("bronzeloftctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if err := a.register(parser); err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if len(args) > 0 {
			return usageError{fmt.Sprintf("unexpected argument %q", args[0])}
		}
		var cancel context.CancelFunc
		a.ctx, cancel = context.WithTimeout(ctx, a.Timeout)
		defer cancel()
		return command.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	return a.finish(err)
}

func (a *app) register(p *flags.Parser) error {
	if _, err := p.AddGroup("Global options", "", &a.globals); err != nil {
		return err
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"check", "Check team files and list every fault", &checkCommand{app: a}},
		{"diff", "Show what publishing team files would change", &diffCommand{app: a}},
		{"publish", "Put team files in force", &publishCommand{app: a}},
		{"status", "Show the published version and the state of hosts", &statusCommand{app: a}},
		{"drain", "Stop a host gracefully", &drainCommand{app: a}},
		{"report", "Show how much of the error budgets is used up", &reportCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	if err := a.registerLogs(p); err != nil {
		return err
	}
	if err := a.registerEvacuations(p); err != nil {
		return err
	}
	return a.registerKeys(p)
}

// finish prints err, if any, and returns the exit code.
func (a *app) finish(err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(a.env.Out, err)
		return ExitOK
	case errors.Is(err, errRefused):
		return ExitRefused
	}
	fmt.Fprintln(a.env.Err, "bronzeloftctl:", err)
	return exitCode(err)
}

// refusals are errors that a retry does not resolve; their exit code is ExitRefused.
var refusals = []error{
	contract.ErrNotPublished, contract.ErrChunkMissing, contract.ErrCorrupt, contract.ErrTooLarge,
	errNoRoster, errNotRecorded, errOtherStart, errEarlierFirst, errStillListed, errUnknownCentre, errNotEvacuated,
	keys.ErrNoCustomer, keys.ErrNoKey, keys.ErrTooMany, keys.ErrNoneValid, keys.ErrID,
}

// exitCode returns the exit code for err: ExitUnavailable if err is neither a usage
// error nor a conflict nor a refusal.
func exitCode(err error) int {
	var (
		flagsErr *flags.Error
		usage    usageError
		conflict *contract.ConflictError
		faults   tomlread.Faults
	)
	switch {
	case errors.As(err, &flagsErr), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict), errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrExists):
		return ExitConflict
	case errors.As(err, &faults):
		return ExitRefused
	}
	for _, refusal := range refusals {
		if errors.Is(err, refusal) {
			return ExitRefused
		}
	}
	return ExitUnavailable
}

// api returns the client of the platform that the command line names, or a
// usageError if it names none.
func (a *app) api() (objectapi.API, error) {
	if a.Platform == "" {
		return nil, usageError{"--platform or BRONZELOFT_PLATFORM must name the platform"}
	}
	return a.env.API(a.Platform), nil
}

// publishOptions returns the options for publishing as this operator on top of
// version base.
func (a *app) publishOptions(base uint64) contract.PublishOptions {
	return contract.PublishOptions{Base: base, Operator: a.Operator, Pause: a.env.Pause}
}

// published returns the client of the platform and the snapshot in force there; the
// snapshot is nil if none is published.
func (a *app) published() (objectapi.API, *contract.Snapshot, error) {
	api, err := a.api()
	if err != nil {
		return nil, nil, err
	}
	snap, err := contract.Fetch(a.ctx, api)
	if errors.Is(err, contract.ErrNotPublished) {
		return api, nil, nil
	}
	return api, snap, eris.Wrap(err, "read published snapshot")
}
