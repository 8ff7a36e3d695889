package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// BenchmarkPlainRequest measures a plain request without network, with three backend
// servers without limits and with limits.
func BenchmarkPlainRequest(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limits=%t", limited), func(b *testing.B) {
			f := plainForwarder(3, &scriptedBackends{})
			if limited {
				f.permits = allPermits{}
				for id := range f.inv.View().Servers {
					f.ApplyStatement(Statement{Server: id, Call: CallReport, Limit: StatedLimit{Stated: true, Rate: 1e9}, SentAt: boottime.Now()})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				err := f.Do(context.Background(), &Request{
					ID: "r", Service: "cards", Received: now, Deadline: now.Add(3 * time.Second),
					Route: &site.Route{Kind: site.Safe, MaxAttempts: 2, Timeout: 3 * time.Second},
				}, &recordingSink{})
				require.NoError(b, err)
			}
		})
	}
}

// allPermits grants all permits. It implements Permits.
type allPermits struct{}

func (allPermits) Permit(context.Context, quota.PermitRequest) quota.Decision {
	return quota.Decision{Granted: true}
}

// BenchmarkChoice measures the selection of a path among 41 servers, without limits and
// with two heads at their limits.
func BenchmarkChoice(b *testing.B) {
	for _, denied := range []int{0, 2} {
		b.Run(fmt.Sprintf("denied=%d", denied), func(b *testing.B) {
			l := newLab(1)
			f := l.forward[0]
			r := f.newRun(&Request{
				ID: "r", Service: labService, Prompt: labPrompt, Received: time.Now(), Deadline: time.Now().Add(time.Minute),
				Route: &site.Route{Kind: site.Stream, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second},
			}, nil)
			r.engine = l.engine
			for id, s := range l.view.Servers {
				if denied > 0 && s.Held.Has(0) {
					denied--
					f.ApplyStatement(Statement{Server: id, Call: CallReport, Limit: StatedLimit{Stated: true, Rate: 1}, SentAt: boottime.Now()})
					f.denials.Add(r.class(), quota.Decision{Server: id, After: time.Hour, RetryAfter: time.Hour}, boottime.Now())
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				_, err := r.find(context.Background())
				require.NoError(b, err)
			}
		})
	}
}
