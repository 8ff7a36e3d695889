package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/liveness"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// behaviour is the reaction of a backend server to one send.
type behaviour int

const (
	unreachable behaviour = iota
	refusing              // reports that the request did not run
	lost                  // runs the request, without an answer
	failing               // runs the request and answers 500
	ambiguous             // runs the request and answers 503 without reporting that it did not run
	unsigned              // runs the request and answers without a signature
	serving
	behaviourCount
)

func (b behaviour) runs() bool { return b != unreachable && b != refusing }

// scriptedBackends reacts to each send with the next behaviour of a script. After the end
// of the script it serves all requests. It implements Backends.
type scriptedBackends struct {
	script   []behaviour
	arrivals int // number of sends that reached a backend server
	ran      int // number of sends that ran
}

func (s *scriptedBackends) Send(context.Context, *Outgoing) (*Answer, error) {
	b := serving
	if len(s.script) > 0 {
		b, s.script = s.script[0], s.script[1:]
	}
	if b != unreachable {
		s.arrivals++
	}
	if b.runs() {
		s.ran++
	}
	a := &Answer{Status: http.StatusOK, Signed: true, Header: http.Header{}, Framing: framing.Length, Body: io.NopCloser(strings.NewReader("card"))}
	switch b {
	case unreachable:
		return nil, execution.ErrNotSent
	case lost:
		return nil, execution.ErrLost
	case refusing:
		a.Status, a.NotRun = http.StatusServiceUnavailable, true
	case failing:
		a.Status = http.StatusInternalServerError
	case ambiguous:
		a.Status = http.StatusServiceUnavailable
	case unsigned:
		a.Signed = false
	}
	return a, nil
}

// CheckHealth implements Backends.
func (s *scriptedBackends) CheckHealth(context.Context, *site.BackendServer, string) error {
	return nil
}

func (s *scriptedBackends) Report(context.Context, *site.BackendServer) (Report, error) {
	return Report{}, nil
}
func (s *scriptedBackends) Listens(context.Context, *site.BackendServer) error {
	return nil
}
func (s *scriptedBackends) Reach(context.Context, *site.BackendServer) error { return nil }
func (s *scriptedBackends) Repath(context.Context, *site.BackendServer, string, site.Path) error {
	return nil
}

// scriptedPermits grants or denies permits by a script. After the end of the script it
// grants all. It implements Permits.
type scriptedPermits struct{ script []bool }

// Permit implements Permits.
func (s *scriptedPermits) Permit(_ context.Context, r quota.PermitRequest) quota.Decision {
	granted := true
	if len(s.script) > 0 {
		granted, s.script = s.script[0], s.script[1:]
	}
	return quota.Decision{Granted: granted, Server: r.Servers[0], After: time.Minute, RetryAfter: time.Minute}
}

// fixed is an inventory and a fleet of one daemon that do not change.
type fixed struct{ view *inventory.View }

func (f fixed) View() *inventory.View       { return f.view }
func (f fixed) Age(time.Time) time.Duration { return 0 }
func (f fixed) Complete() bool              { return true }
func (f fixed) Confirmed() bool             { return true }
func (f fixed) Daemons() int                { return 1 }
func (f fixed) Shares() map[string]float64  { return map[string]float64{"": 1} }

// noObserver ignores all events. It implements Observer.
type noObserver struct{}

func (noObserver) Finished(string, time.Duration)  {}
func (noObserver) FirstEvent(time.Duration)        {}
func (noObserver) LoadsAge(time.Duration)          {}
func (noObserver) LoadsRefused(int)                {}
func (noObserver) ServerEnded()                    {}
func (noObserver) Quarantined()                    {}
func (noObserver) ContactLost(liveness.Verdict)    {}
func (noObserver) Limits(int)                      {}
func (noObserver) LimitReached()                   {}
func (noObserver) Recovered(string, time.Duration) {}

func (noObserver) Unavailable(availability.State)    {}
func (noObserver) CallPrevented(availability.State)  {}
func (noObserver) HeaderIgnored()                    {}
func (noObserver) AnswerEnded(framing.Framing, bool) {}
func (noObserver) Shed(int)                          {}
func (noObserver) AdmittedFraction(int, float64)     {}

// recordingSink records a complete answer. It implements Sink.
type recordingSink struct {
	status int
	body   string
}

func (c *recordingSink) Head(int, http.Header) error { return nil }
func (c *recordingSink) Events([]byte) error         { return nil }
func (c *recordingSink) Complete(status int, _ http.Header, body []byte) error {
	c.status, c.body = status, string(body)
	return nil
}

// plainForwarder returns a forwarder for a plain service with the given number of servers.
func plainForwarder(servers int, backends Backends) *Forwarder {
	services := []*site.Service{{Name: "cards"}}
	known := map[string]*site.BackendServer{}
	for i := range servers {
		id := fmt.Sprint("b", i)
		known[id] = &site.BackendServer{ID: id, Service: "cards", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 4}
	}
	inv := fixed{inventory.NewView(site.NewConfig(1, site.Limits{}, nil, services, nil), known)}
	return New(Options{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second},
		Dependencies{Inventory: inv, Fleet: inv, Backends: backends, Log: NewLog(io.Discard), Observer: noObserver{}})
}

// For any behaviour of backend servers and any limits, a request that may not be repeated
// runs at most once, a request that is reported as not run did not run, and a request that
// is reported as successful ran.
func TestReportedOutcomesAreCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
		}), 0, 5).Draw(t, "script")
		kind := rapid.SampledFrom([]site.RequestKind{site.Safe, site.Unsafe}).Draw(t, "repeat")
		b := &scriptedBackends{script: script}
		f := plainForwarder(rapid.IntRange(1, 4).Draw(t, "servers"), b)
		f.permits = &scriptedPermits{script: rapid.SliceOfN(rapid.Bool(), 0, 6).Draw(t, "permits")}
		for id := range f.inv.View().Servers {
			if rapid.Bool().Draw(t, "limited") {
				f.ApplyStatement(Statement{Server: id, Call: CallReport, Limit: StatedLimit{Stated: true, Rate: 1}, SentAt: boottime.Now()})
			}
		}
		before := invariant.Total()
		now := time.Now()
		req := &Request{
			ID: "r", Service: "cards", Received: now, Deadline: now.Add(3 * time.Second),
			Route: &site.Route{Kind: kind, MaxAttempts: 3, Timeout: 3 * time.Second, Objective: time.Millisecond},
		}
		got := &recordingSink{}
		err := f.Do(context.Background(), req, got)
		require.Equal(t, before, invariant.Total())
		if kind == site.Unsafe {
			require.LessOrEqual(t, b.ran, 1)
		}
		if err != nil && apierror.From(err).NotRun() {
			require.Zero(t, b.ran, "%v", err)
		}
		if err == nil {
			require.Positive(t, b.ran)
			require.Equal(t, "card", got.body)
			require.False(t, impliesNotRun(got.status))
		}
	})
}

// The logged cause of an interruption is correct if the stream broke and if this daemon
// ended the send.
func TestCauseOfAnInterruption(t *testing.T) {
	ctx := context.Background()
	broken := fmt.Errorf("%w: %w", errBroken, io.ErrUnexpectedEOF)
	sctx, cancel := context.WithCancelCause(ctx)
	require.Equal(t, errBroken.Error(), causeOf(withCause(ctx, sctx, broken)))
	cancel(errHeadDead)
	require.Equal(t, errHeadDead.Error(), causeOf(withCause(ctx, sctx, broken)))
	gone, leave := context.WithCancel(ctx)
	leave()
	require.Equal(t, errBroken.Error(), causeOf(withCause(gone, sctx, broken)), "the caller left")
}

// While the budget has no retry, a begun stream waits for one; other requests are refused at
// once.
func TestBegunStreamsWaitForARetry(t *testing.T) {
	f := plainForwarder(1, &scriptedBackends{})
	f.budget = admission.NewBudget(1, 0, time.Second)
	fresh := &run{f: f, req: &Request{Route: &site.Route{}}, reached: true}
	began := time.Now()
	require.False(t, fresh.awaitRetry(t.Context()))
	require.Less(t, time.Since(began), pollInterval)
	begun := &run{f: f, req: &Request{Route: &site.Route{}}, reached: true}
	begun.headSent.Store(true)
	time.AfterFunc(5*pollInterval, func() {
		for range 4 {
			f.budget.Earn(time.Now())
		}
	})
	require.True(t, begun.awaitRetry(t.Context()))
	gone, leave := context.WithCancel(t.Context())
	leave()
	for begun.takeRetry() {
	}
	require.False(t, begun.awaitRetry(gone))
}

// A failed connection does not outweigh one that has succeeded meanwhile.
func TestOutdatedFailureDoesNotExcludeABackendServer(t *testing.T) {
	f := plainForwarder(1, &scriptedBackends{})
	s := &site.BackendServer{ID: "b0", Address: "10.0.0.1:80"}
	asked, reached := 0, false
	f.way = func(string) detour.Way {
		asked++
		if reached || asked == 2 {
			return detour.Carried
		}
		return detour.Unreachable
	}
	f.markUnreachable(s, "probe", io.ErrUnexpectedEOF, time.Now())
	require.False(t, f.Failed("b0"), "reached while the failure was recorded")
	reached = true
	f.markUnreachable(s, "probe", io.ErrUnexpectedEOF, time.Now())
	require.False(t, f.Failed("b0"), "reached before")
	f.way = func(string) detour.Way { return detour.Unreachable }
	f.markUnreachable(s, "probe", io.ErrUnexpectedEOF, time.Now())
	require.True(t, f.Failed("b0"))
}
