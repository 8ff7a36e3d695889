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
	"github.com/snowspoke/snowspoke/site"
)

// platformCmd runs the daemon on the users' platform.
type platformCmd struct {
	MetricsPort int `help:"Port on which metrics are served, 0 for none." default:"0"`
}

// platformGCPercent is the GC target percentage on the platform. It trades memory
// for processor time, which is more expensive there.
const platformGCPercent = 200

// platformHeapPercent is the part of the VM's memory from which garbage is collected as often as
// needed. The rest is for the program itself and for bytes that the kernel holds for it.
const platformHeapPercent = 65

// Run implements the command.
func (c *platformCmd) Run() error {
	load := func() (site.Settings, error) { return platform.LoadSettings(os.Getenv(platform.SettingsEnv)) }
	set, err := load()
	if err != nil {
		return settingsError{err}
	}
	debug.SetGCPercent(platformGCPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(set.MemoryMB<<20) * platformHeapPercent / 100)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g, err := gateway.New(gateway.Options{Load: load, Reload: reload, MetricsPort: c.MetricsPort}, os.Stdout)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return g.Run(ctx)
}
