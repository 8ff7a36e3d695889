package forward

import (
	"time"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/quota"
)

// ApplyLimit updates a backend server's limit from one of its answers. Any answer may name
// a limit; only the answer to a request that ran may end one, since refusals, reports and
// answers to orders may omit it.
func (f *Forwarder) ApplyLimit(w LimitReport) {
	if !w.Named && !(w.Call == CallRequest && w.Ran) {
		return
	}
	update := quota.LimitReport{Server: w.Server, Named: w.Named, Rate: w.Rate, SentAt: w.SentAt, At: boottime.Now()}
	f.applyLimit(update, "by", w.Call, "request", w.RequestID)
}

// ApplyLimitFrom updates a backend server's limit from another daemon.
func (f *Forwarder) ApplyLimitFrom(w quota.LimitReport, daemon string) {
	if f.applyLimit(w, "told_by", daemon) == quota.Unchanged && !w.Named {
		f.limits.Retell(w.Server)
	}
}

func (f *Forwarder) applyLimit(w quota.LimitReport, source ...any) quota.Change {
	change, before, limit := f.limits.Apply(w)
	if change == quota.Unchanged {
		return change
	}
	now := boottime.Now()
	f.observer.Limits(f.limits.Size())
	f.log.Add("limit", append([]any{"server", w.Server, "change", change, "rate", limit.Rate, "rate_before", before.Rate,
		"known_for", limitAge(before, now), "sent_recently", f.sends.Recent(w.Server, now), "daemons", f.fleet.Daemons()}, source...)...)
	return change
}

// limitAge returns how long a limit has been known, 0 if there is none.
func limitAge(l quota.Limit, now time.Time) time.Duration {
	if l.Since.IsZero() {
		return 0
	}
	return now.Sub(l.Since).Round(time.Millisecond)
}
