package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/snowspoke/snowspoke/gateway"
	"github.com/snowspoke/snowspoke/platform"
)

// platformCmd runs the daemon on the users' platform.
type platformCmd struct {
	MetricsPort int `help:"Port on which metrics are served, 0 for none." default:"0"`
}

// platformGCPercent trades a little memory, which is cheap there, for processor
// time, which is dear.
const platformGCPercent = 200

// Run implements the command.
func (c *platformCmd) Run() error {
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return settingsError{err}
	}
	debug.SetGCPercent(platformGCPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	g, err := gateway.New(set, os.Stdout, c.MetricsPort)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return g.Run(ctx)
}
