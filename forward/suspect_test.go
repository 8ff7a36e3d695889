package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// aimAt makes a daemon send its next request to one head of the lab, as the others have just
// refused work.
func (l *lab) aimAt(f *Forwarder, head string) {
	l.eachHead(func(id string) {
		if id != head {
			f.health.Refuse(id, time.Now())
		}
	})
}

// Requests that end two of three heads at the same moment, at daemons that each know of one
// end, do not end the third.
func TestCrashesAtTheSameTimeLeaveOneHead(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newFleetLab(1, 2)
		l.arrivals = map[string][]time.Time{}
		var heads []string
		l.eachHead(func(id string) { heads = append(heads, id) })
		require.Len(t, heads, 3)
		var wg sync.WaitGroup
		for n, f := range l.forward {
			l.aimAt(f, heads[n])
			wg.Go(func() {
				now := time.Now()
				body := fmt.Sprint(crashPrefix, n)
				_ = f.Do(context.Background(), &Request{
					ID: body, Body: []byte(body), Service: labService, Received: now, Deadline: now.Add(20 * time.Second), Prompt: labPrompt,
					Route: &site.Route{Kind: site.Stream, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: 500 * time.Millisecond},
				}, &labCaller{lab: l, sent: now})
			})
		}
		wg.Wait()
		require.Equal(t, 2, l.ended)
	})
}

func suspectRequest() *Request {
	return &Request{
		ID: "r", Body: []byte("b"), Service: "cards", Received: time.Now(), Deadline: time.Now().Add(20 * time.Second),
		Route: &site.Route{Kind: site.Safe, MaxAttempts: 3, Timeout: 3 * time.Second},
	}
}

// suspectForwarder returns a forwarder before a number of backend servers that knows of one end
// under suspectRequest.
func suspectForwarder(servers int, b Backends) *Forwarder {
	f := plainForwarder(servers, b)
	f.quarantine.RecordEnd(suspectRequest().Fingerprint(), 1, quarantine.Likely, time.Now())
	return f
}

// A suspect is refused as not run while only the reserved backend server responds, and served
// after that.
func TestSuspectIsNotSentToTheLastServer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		b := &scriptedBackends{}
		f := suspectForwarder(2, b)
		f.health.Fail("b0", time.Now())
		err := apierror.From(f.Do(context.Background(), suspectRequest(), &recordingSink{}))
		require.Equal(t, apierror.Quarantined, err.Kind)
		require.True(t, err.NotRun())
		require.GreaterOrEqual(t, err.RetryAfter, suspectRetryAfter)
		require.Zero(t, b.ran)
		time.Sleep(quarantine.DefaultPolicy.SuspectFor)
		f.health.Fail("b0", time.Now())
		require.NoError(t, f.Do(context.Background(), suspectRequest(), &recordingSink{}))
		require.Equal(t, 1, b.ran)
	})
}

// The only backend server of a service is not reserved.
func TestSuspectIsSentToTheOnlyServer(t *testing.T) {
	b := &scriptedBackends{}
	f := suspectForwarder(1, b)
	require.NoError(t, f.Do(context.Background(), suspectRequest(), &recordingSink{}))
	require.Equal(t, 1, b.ran)
}
