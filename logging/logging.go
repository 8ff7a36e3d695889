// Package logging creates the logger of the daemon, which writes one line of
// key=value pairs per event.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes to w the events at or above the threshold:
// "debug", "info", "warn" or "error". Any other value means "info".
func New(w io.Writer, threshold string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, levelOption(threshold))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

func levelOption(threshold string) level.Option {
	switch threshold {
	case "debug":
		return level.AllowDebug()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	}
	return level.AllowInfo()
}
