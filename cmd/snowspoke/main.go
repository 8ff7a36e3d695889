// Command snowspoke is the command line for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/capacity"
	"github.com/snowspoke/snowspoke/edit"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Exit codes that scripts can rely on.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitNotFound    = 5
	exitUnavailable = 6
	exitTimeout     = 7
)

const description = `Operates a fleet of snowspoked daemons.

Objects are read and edited in the platform's store; what daemons do with them
is asked at their operators' addresses.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid object or settings,
4 somebody else changed the same field, 5 not found, 6 store or daemon
unavailable, 7 not in force in time.`

type cli struct {
	Platform string   `help:"URL of the platform's object interface." env:"SNOWSPOKE_PLATFORM" placeholder:"URL"`
	Daemon   []string `help:"Operators' address of a daemon, IP:port; several may be given." env:"SNOWSPOKE_DAEMONS" placeholder:"IP:PORT"`
	CA       string   `help:"PEM file of the authority; calls then use https." env:"SNOWSPOKE_CA" placeholder:"FILE"`
	Token    string   `help:"Operators' token." env:"SNOWSPOKE_TOKEN" placeholder:"TOKEN"`
	Output   string   `help:"Form of the output: ${enum}." enum:"table,json" default:"table"`

	Get         getCmd         `cmd:"" help:"Show objects of a kind, or one of them."`
	Label       labelCmd       `cmd:"" help:"Set or remove one label of an object: KEY=VALUE, or KEY- to remove."`
	Selector    selectorCmd    `cmd:"" help:"Set one selector of a Stage or RoutingRule."`
	Drain       drainCmd       `cmd:"" help:"Take a backend server out of service, or back with --undo."`
	Wait        waitCmd        `cmd:"" help:"Wait until the newest version of an object is in force on all daemons."`
	Status      statusCmd      `cmd:"" help:"Show daemons, leases, backend servers and the bound of each model."`
	Explain     explainCmd     `cmd:"" help:"Show the decisions about a request, backend server or model."`
	Bound       boundCmd       `cmd:"" help:"Show the throughput bound of a model and what limits it."`
	Predictions predictionsCmd `cmd:"" help:"Compare predicted with measured first events, from a decision log."`
	Quarantine  quarantineCmd  `cmd:"" help:"Show the requests that are held back since backend servers ended as they ran them, or lift that."`
	Route       routeCmd       `cmd:"" help:"Explain where a daemon would send a request now, without sending it."`
	Check       checkCmd       `cmd:"" help:"Check object or settings files before they are accepted."`
	Load        loadCmd        `cmd:"" help:"Send an open-loop load and show what callers see."`
	Try         tryCmd         `cmd:"" help:"Run stand-ins and daemons on loopback, to try the system out or to check its promises."`
	Errors      errorsCmd      `cmd:"" help:"Print the table of errors as Markdown, as in docs/ERRORS.md."`
	Capacity    capacityCmd    `cmd:"" help:"Print the capacity page as Markdown, as in docs/CAPACITY.md."`
}

func main() {
	var c cli
	parser := newParser(&c)
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "snowspoke:", err)
		fmt.Fprintln(os.Stderr, "see snowspoke --help")
		os.Exit(exitUsage)
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "snowspoke:", err)
		os.Exit(exitCode(err))
	}
}

func newParser(c *cli) *kong.Kong {
	parser, err := kong.New(c, kong.Name("snowspoke"), kong.Description(description), kong.Bind(c))
	if err != nil {
		panic(err) // the command-line definition is invalid
	}
	return parser
}

// exitCode maps an error to an exit code.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage), errors.Is(err, edit.ErrNoField):
		return exitUsage
	case errors.Is(err, topology.ErrInvalid), errors.Is(err, errInvalid):
		return exitInvalid
	case errors.Is(err, edit.ErrFieldChanged), errors.Is(err, store.ErrConflict):
		return exitConflict
	case errors.Is(err, store.ErrNotFound), errors.Is(err, errNotFound):
		return exitNotFound
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, errUnavailable):
		return exitUnavailable
	case errors.Is(err, errNotInForce), errors.Is(err, context.DeadlineExceeded):
		return exitTimeout
	}
	return exitFailed
}

type capacityCmd struct{}

// Run prints the capacity page.
func (capacityCmd) Run() error {
	fmt.Print(capacity.Markdown())
	return nil
}

type errorsCmd struct{}

// Run prints the table of errors.
func (errorsCmd) Run() error {
	fmt.Print(apierror.Markdown())
	return nil
}
