// Command snowspoked is the daemon that runs on every entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/snowspoke/snowspoke/config"
	"github.com/snowspoke/snowspoke/daemon"
	"github.com/snowspoke/snowspoke/logging"
	"github.com/snowspoke/snowspoke/network"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// dialTimeout bounds the time to establish a connection.
const dialTimeout = time.Second

// gcPercent is the GC target percentage unless GOGC is set. It trades processor
// time for memory, which is scarce on small VMs.
const gcPercent = 50

type flags struct {
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Serve with settings from an INI file (the default)."`
	Platform platformCmd `cmd:"" help:"Serve on the users' platform, which hands the settings to the process."`
}

// serveCmd runs the daemon with snowspoke's own HTTP interfaces.
type serveCmd struct {
	Settings string `help:"INI file with the settings." default:"/etc/snowspoke/snowspoked.ini" type:"path"`
	Check    bool   `help:"Check the settings and exit: 0 if they are fine, 2 if not."`
	Sample   bool   `help:"Print every setting with its meaning and default, and exit."`
}

// settingsError marks an error in the settings, which has its own exit code.
type settingsError struct{ error }

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Routes requests to model engines and plain services."))
	os.Exit(exitCode(k.Run()))
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var invalid settingsError
	if errors.As(err, &invalid) {
		return exitSettings
	}
	return exitFailed
}

// Run implements the command.
func (f *serveCmd) Run() error {
	if f.Sample {
		fmt.Print(config.Sample())
		return nil
	}
	cfg, err := config.Load(f.Settings)
	if err != nil {
		return settingsError{err}
	}
	if f.Check {
		fmt.Println("settings: fine")
		return nil
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(cfg, network.NewSystem(dialTimeout), logging.New(os.Stderr, cfg.Log.Level))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
