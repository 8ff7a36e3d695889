package forward

import (
	"time"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/quota"
)

// applyStatedLimit updates a backend server's limit from one of its answers. Any answer may
// state a limit. Only the answer to a request that ran ends a limit by not stating one,
// since refusals, reports and answers to orders may omit it. A backend server that is no first
// hop gets no requests, so a report ends its limit; should it become one, its first answer states
// the limit again.
func (f *Forwarder) applyStatedLimit(s *Statement) {
	ends := s.Ran && (s.Call == CallRequest || s.Call == CallReport && f.isInnerHop(s.Server))
	if s.Limit.Unreadable || !s.Limit.Stated && !ends {
		return
	}
	update := quota.LimitReport{Server: s.Server, Stated: s.Limit.Stated, Rate: s.Limit.Rate, SentAt: s.SentAt, At: boottime.Now()}
	f.applyLimit(update, "by", s.Call, "request", s.RequestID)
}

// ApplyLimitFrom updates a backend server's limit by a report of another daemon.
func (f *Forwarder) ApplyLimitFrom(report quota.LimitReport, daemon string) {
	if f.applyLimit(report, "told_by", daemon) == quota.Unchanged && !report.Stated {
		f.limits.Republish(report.Server)
	}
}

// applyLimit applies a report and logs a change. source holds log keys and values that
// describe where the report is from.
func (f *Forwarder) applyLimit(report quota.LimitReport, source ...any) quota.Change {
	change, before, limit := f.limits.Apply(report)
	if change == quota.Unchanged {
		return change
	}
	now := boottime.Now()
	f.observer.Limits(f.limits.Size())
	f.log.Add("limit", append([]any{"server", report.Server, "change", change, "rate", limit.Rate, "rate_before", before.Rate,
		"known_for", limitAge(before, now), "sent_recently", f.sends.Recent(report.Server, now), "daemons", f.fleet.Daemons()}, source...)...)
	return change
}

// isInnerHop reports whether a backend server runs layers of a model, but not the first one.
func (f *Forwarder) isInnerHop(id string) bool {
	view := f.inv.View()
	s := view.Servers[id]
	if s == nil || view.Config == nil {
		return false
	}
	service := view.Config.Services[s.Service]
	return service != nil && service.Engine != nil && !s.Held.Has(0)
}

// limitAge returns how long a limit has been known, 0 if there is none.
func limitAge(l quota.Limit, now time.Time) time.Duration {
	if l.Since.IsZero() {
		return 0
	}
	return now.Sub(l.Since).Round(time.Millisecond)
}
