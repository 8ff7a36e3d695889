// Package logging makes the logger that every part of the system writes to: one
// line of key=value pairs for each event.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes lines at or above a level to w.
func New(w io.Writer, threshold string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, option(threshold))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

func option(threshold string) level.Option {
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
