// Command snowspoke is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/snowspoke/snowspoke/apierror"
)

type cli struct {
	Try    tryCmd    `cmd:"" help:"Run stand-ins and daemons on loopback, to try the system out or to check its promises."`
	Errors errorsCmd `cmd:"" help:"Print the table of errors as Markdown, as in docs/ERRORS.md."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("snowspoke"), kong.Description("Operates a fleet of snowspoked daemons."), kong.UsageOnError())
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "snowspoke:", err)
		os.Exit(1)
	}
}

type errorsCmd struct{}

// Run prints the table.
func (errorsCmd) Run() error {
	fmt.Print(apierror.Markdown())
	return nil
}
