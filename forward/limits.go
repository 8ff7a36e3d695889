package forward

import (
	"time"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/quota"
)

// HearLimit takes what an answer says of its backend server's limit. Any answer may name
// one; only the answer to a request that was run ends one, since a refusal, a report or an
// answer to an order may leave it out.
func (f *Forwarder) HearLimit(w LimitWord) {
	if !w.Named && !(w.Call == CallRequest && w.Ran) {
		return
	}
	word := quota.Word{Server: w.Server, Named: w.Named, Rate: w.Rate, SentAt: w.SentAt, At: boottime.Now()}
	f.takeLimit(word, "by", w.Call, "request", w.RequestID)
}

// HearLimitFrom takes what another daemon tells of a backend server's limit.
func (f *Forwarder) HearLimitFrom(w quota.Word, daemon string) {
	if f.takeLimit(w, "told_by", daemon) == quota.Unchanged && !w.Named {
		f.limits.Retell(w.Server)
	}
}

func (f *Forwarder) takeLimit(w quota.Word, source ...any) quota.Change {
	change, before, limit := f.limits.Hear(w)
	if change == quota.Unchanged {
		return change
	}
	now := boottime.Now()
	f.observe.Limits(f.limits.Size())
	f.log.Add("limit", append([]any{"server", w.Server, "change", change, "rate", limit.Rate, "rate_before", before.Rate,
		"known_for", ageOf(before, now), "sent_recently", f.sends.Recent(w.Server, now), "daemons", f.fleet.Daemons()}, source...)...)
	return change
}

// ageOf returns how long a limit has been known, 0 for none.
func ageOf(l quota.Limit, now time.Time) time.Duration {
	if l.Since.IsZero() {
		return 0
	}
	return now.Sub(l.Since).Round(time.Millisecond)
}
