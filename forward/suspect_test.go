package forward

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
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
func TestCrashesAtTheSameTimeLeaveOneHead(t *testing.T) { testCrashesAtTheSameTime(t, 0) }

// The same with heads that accept connections for a while as they end.
func TestSlowCrashesAtTheSameTimeLeaveOneHead(t *testing.T) {
	testCrashesAtTheSameTime(t, time.Second)
}

func testCrashesAtTheSameTime(t *testing.T, listensFor time.Duration) {
	virtual.Test(t, func(t *testing.T) {
		l := newFleetLab(1, 2)
		l.listensFor = listensFor
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
		time.Sleep(maxWatch)
		require.Equal(t, 2, l.ended)
	})
}

// suspectLab returns a lab whose daemon knows of one end under the request that it returns.
func suspectLab() (*lab, func() *Request) {
	l := newLab(1)
	request := func() *Request {
		now := time.Now()
		return &Request{
			ID: "r", Body: []byte("b"), Service: labService, Received: now, Deadline: now.Add(20 * time.Second), Prompt: labPrompt,
			Route: &site.Route{Kind: site.Stream, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: 500 * time.Millisecond},
		}
	}
	l.forward[0].quarantine.RecordEnd(request().Fingerprint(), 1, quarantine.Likely, time.Now())
	return l, request
}

// failHeads makes the daemon take a number of heads for dead.
func (l *lab) failHeads(n int) {
	l.eachHead(func(id string) {
		if n > 0 {
			l.forward[0].health.Fail(id, time.Now())
			n--
		}
	})
}

// A suspect is refused as not run while only the reserved head responds, and served later.
func TestSuspectIsNotSentToTheLastHead(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l, request := suspectLab()
		l.failHeads(2)
		err := apierror.From(l.forward[0].Do(context.Background(), request(), &labCaller{lab: l}))
		require.Equal(t, apierror.Quarantined, err.Kind)
		require.True(t, err.NotRun())
		require.GreaterOrEqual(t, err.RetryAfter, suspectRetryAfter)
		time.Sleep(quarantine.DefaultPolicy.SuspectFor)
		l.failHeads(2)
		require.NoError(t, l.forward[0].Do(context.Background(), request(), &labCaller{lab: l}))
	})
}

// A service with two heads has none reserved: the stream goes on at the other one.
func TestSuspectIsSentToTheOtherOfTwoHeads(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l, request := suspectLab()
		servers := maps.Clone(l.view.Servers)
		removed := false
		l.eachHead(func(id string) {
			if !removed {
				delete(servers, id)
				removed = true
			}
		})
		l.view = inventory.NewView(l.view.Config, servers)
		l.failHeads(1)
		require.NoError(t, l.forward[0].Do(context.Background(), request(), &labCaller{lab: l}))
	})
}
