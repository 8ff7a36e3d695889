package daemon

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/overload"
)

// limitLoad limits the requests of callers while this process is short of processor time. The
// usage of the other daemons is not exchanged, so that only the lag counts.
func (d *Daemon) limitLoad() error {
	if _, ok := d.net.(*network.System); !ok {
		return nil
	}
	guard, err := overload.NewGuard(overload.GuardOptions{
		Others: func() float64 { return 1 }, Metrics: d.metrics,
		Log: func(keyvals ...any) {
			_ = level.Info(d.logger).Log(append([]any{"msg", "process load"}, keyvals...)...)
		},
	})
	if err != nil {
		return err
	}
	d.overload, d.callers.ConnState = guard, guard.Track
	return nil
}

// monitorLoad measures the load of this process until ctx ends.
func (d *Daemon) monitorLoad(ctx context.Context) {
	if d.overload == nil {
		return
	}
	if err := d.overload.Run(ctx); err != nil {
		_ = level.Error(d.logger).Log("msg", "the load of this process is not measured", "err", err)
	}
}
