package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/stall"
)

// reachBackends answers each probe with the next result of a script, then with the last one.
type reachBackends struct {
	scriptedBackends
	results []error
	probes  int
}

func (b *reachBackends) Reach(context.Context, *site.BackendServer) error {
	b.probes++
	return nextResult(&b.results)
}

func (b *reachBackends) Listens(ctx context.Context, s *site.BackendServer) error {
	return b.Reach(ctx, s)
}

// nextResult returns the next result of a script, then the last one, nil if it has none.
func nextResult(script *[]error) error {
	if len(*script) == 0 {
		return nil
	}
	err := (*script)[0]
	*script = (*script)[min(1, len(*script)-1):]
	return err
}

var errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

func endedRun(b *reachBackends, kind site.RequestKind) (*run, site.Path) {
	f := plainForwarder(1, b)
	return &run{f: f, req: &Request{Route: &site.Route{Kind: kind}}}, site.Path{{Server: f.inv.View().Servers["b0"]}}
}

func virtually(test func(*testing.T)) func(*testing.T) {
	return func(t *testing.T) { virtual.Test(t, test) }
}

// The end of a connection completes an answer only if its backend server has not ended with it.
func TestEndOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		end      answerEnd
		kind     site.RequestKind
		probe    error
		complete bool
		probes   int
	}{
		"length":                          {end: answerEnd{framing: framing.Length}, probe: errRefused, complete: true},
		"chunked":                         {end: answerEnd{framing: framing.Chunked}, probe: errRefused, complete: true},
		"chunked, inside an event":        {end: answerEnd{framing: framing.Chunked, partial: 3}},
		"length, no event":                {end: answerEnd{framing: framing.Length, empty: true}},
		"until close":                     {kind: site.Safe, complete: true, probes: 1},
		"until close, reset":              {end: answerEnd{err: syscall.ECONNRESET}},
		"until close, inside an event":    {end: answerEnd{partial: 3}},
		"until close, server ended":       {kind: site.Safe, probe: errRefused, probes: 1},
		"until close, once, server ended": {kind: site.Unsafe, probe: errRefused, probes: 1},
		"until close, no response":        {kind: site.Safe, probe: context.DeadlineExceeded, probes: 16},
		"until close, once, no response":  {kind: site.Unsafe, probe: context.DeadlineExceeded, probes: 16},
		"until close, once, isolated":     {kind: site.Unsafe, probe: fmt.Errorf("%w: %w", detour.ErrIsolated, errRefused), probes: 16},
	} {
		t.Run(name, virtually(func(t *testing.T) {
			b := &reachBackends{results: []error{c.probe}}
			r, path := endedRun(b, c.kind)
			err := r.checkEnd(t.Context(), path, c.end)
			require.Equal(t, c.complete, err == nil, "%v", err)
			require.Equal(t, c.probes, b.probes)
		}))
	}
}

// healthBackends answers each health check with the next result of a script, then with the
// last one.
type healthBackends struct {
	reachBackends
	health []error
	checks int
}

func (b *healthBackends) CheckHealth(context.Context, *site.BackendServer, string) error {
	b.checks++
	return nextResult(&b.health)
}

// A plain backend server that has started again accepts connections, so the end of its answer
// is checked by its health check.
func TestEndOfAPlainAnswerIsCheckedByAHealthCheck(t *testing.T) {
	unclear := errors.New("status 404")
	for name, c := range map[string]struct {
		health         []error
		listens        error // result of a connection
		kind           site.RequestKind
		complete       bool
		checks, probes int
	}{
		"same process":                  {health: []error{nil}, kind: site.Unsafe, complete: true, checks: 1},
		"another process":               {health: []error{ErrRestarted}, kind: site.Unsafe, checks: 1},
		"no process":                    {health: []error{errRefused}, kind: site.Unsafe, checks: 1},
		"another process, later":        {health: []error{unclear, ErrRestarted}, kind: site.Unsafe, checks: 2},
		"unclear":                       {health: []error{unclear}, kind: site.Safe, checks: 16},
		"unclear, once, but it listens": {health: []error{unclear}, kind: site.Unsafe, complete: true, checks: 16, probes: 1},
		"unclear, once, no response":    {health: []error{unclear}, listens: context.DeadlineExceeded, kind: site.Unsafe, checks: 16, probes: 1},
		"not allowed, but it listens":   {health: []error{ErrNotAccepting}, kind: site.Safe, complete: true, checks: 1, probes: 1},
		"no permit, and nobody listens": {health: []error{ErrNoPermit}, listens: errRefused, kind: site.Safe, checks: 1, probes: 1},
	} {
		t.Run(name, virtually(func(t *testing.T) {
			b := &healthBackends{health: c.health}
			b.results = []error{c.listens}
			r, path := endedRun(&b.reachBackends, c.kind)
			r.f.backends, r.healthPath = b, "/health"
			err := r.checkEnd(t.Context(), path, answerEnd{framing: framing.UntilClose})
			require.Equal(t, c.complete, err == nil, "%v", err)
			require.Equal(t, c.checks, b.checks)
			require.Equal(t, c.probes, b.probes)
		}))
	}
}

// Guards against half an answer that looks complete: a daemon that stood still for longer than a plain
// backend server needs to be back under its ID cannot tell the two processes apart. Short pauses, as under
// a processor quota, do not count.
func TestEndOfAnAnswerAfterThisDaemonStoodStill(t *testing.T) {
	for name, c := range map[string]struct {
		stall, between time.Duration
		complete       bool
	}{"long stall": {2700 * time.Millisecond, 0, false}, "many short ones": {80 * time.Millisecond, 20 * time.Millisecond, true}} {
		for _, kind := range []site.RequestKind{site.Safe, site.Unsafe} {
			t.Run(name, virtually(func(t *testing.T) {
				r, path := endedRun(&reachBackends{}, kind)
				r.f.stalls = stall.New(nil)
				r.req.Received = time.Now()
				for time.Since(r.req.Received) < 2*time.Second {
					began := time.Now()
					time.Sleep(c.stall)
					r.f.stalls.NoteLag(began, time.Now())
					time.Sleep(c.between)
				}
				err := r.checkEnd(t.Context(), path, answerEnd{framing: framing.UntilClose})
				require.Equal(t, c.complete, err == nil, "%v", err)
			}))
		}
	}
}

// A connection that was accepted before the end of an answer says nothing about that end.
func TestEndOfAnAnswerIsCheckedWithANewProbe(t *testing.T) {
	b := &reachBackends{results: []error{nil, errRefused}}
	r, path := endedRun(b, site.Safe)
	require.NoError(t, r.f.probe(t.Context(), path[0].Server))
	require.ErrorIs(t, r.checkEnd(t.Context(), path, answerEnd{}), errServerGone)
	require.Equal(t, 2, b.probes)
}

// A stream whose later hop has failed is cut by its head, which still accepts connections.
func TestEndOfAStreamWithAFailedHop(t *testing.T) {
	b := &reachBackends{}
	r, path := endedRun(b, site.Safe)
	path = append(path, site.Hop{Server: &site.BackendServer{ID: "later"}})
	r.f.health.Fail("later", time.Now())
	require.ErrorIs(t, r.checkEnd(t.Context(), path, answerEnd{}), errServerGone)
	require.NoError(t, r.checkEnd(t.Context(), path, answerEnd{framing: framing.Chunked}))
}

// An answer of an ended server is never passed on, whatever its status.
func TestAnswerOfAnEndedServerIsNotWritten(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		b := &reachBackends{results: []error{errRefused}}
		r, path := endedRun(b, site.Unsafe)
		sink := &recordingSink{}
		r.sink = sink
		_, err := r.relayComplete(t.Context(), &target{path: path}, &Answer{Status: status, Signed: true, Body: http.NoBody})
		require.ErrorIs(t, err, errServerGone)
		require.Zero(t, sink.status)
	}
}

// slowToAccept answers until close. Its first connections time out, as while its queue of
// new connections is full or while packets are lost. It implements Backends.
type slowToAccept struct {
	scriptedBackends
	timeouts int
}

func (s *slowToAccept) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	a, err := s.scriptedBackends.Send(ctx, o)
	a.Framing = framing.UntilClose
	return a, err
}

func (s *slowToAccept) Listens(ctx context.Context, server *site.BackendServer) error {
	return s.Reach(ctx, server)
}

func (s *slowToAccept) Reach(context.Context, *site.BackendServer) error {
	if s.timeouts == 0 {
		return nil
	}
	s.timeouts--
	time.Sleep(60 * time.Millisecond)
	return os.ErrDeadlineExceeded
}

// A connection that times out does not show that the process of a backend server has ended,
// so it is tried again before a complete answer is discarded.
func TestTimeoutOfAConnectionDoesNotDiscardAnAnswer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		b := &slowToAccept{timeouts: 1}
		f := plainForwarder(1, b)
		now := time.Now()
		got := &recordingSink{}
		err := f.Do(t.Context(), &Request{
			ID: "r", Service: "cards", Received: now, Deadline: now.Add(3 * time.Second),
			Route: &site.Route{Kind: site.Unsafe, MaxAttempts: 1, Timeout: 3 * time.Second},
		}, got)
		require.False(t, f.Failed("b0"), "the server serves on")
		require.NoError(t, err)
		require.Equal(t, "card", got.body)
	})
}

// A health check is answered by whatever process has the name of a backend server. That a later one
// has registered shows that the answer's process has ended, as behind a cut that has healed.
func TestAnswerOfARestartBehindACutIsNotComplete(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		answered := site.Incarnation{Name: "b0", Born: 1000}
		later := site.Incarnation{Name: "b0", Born: 2000}
		for _, known := range []site.Incarnation{answered, later} {
			b := &healthBackends{}
			r, path := endedRun(&b.reachBackends, site.Unsafe)
			r.f.backends, r.healthPath = b, "/health"
			path[0].Server = &site.BackendServer{ID: answered.ID(), Address: "b0:1", Incarnation: answered}
			current := &site.BackendServer{ID: known.ID(), Address: "b0:1", Incarnation: known}
			r.f.inv = fixed{inventory.NewView(nil, map[string]*site.BackendServer{current.ID: current})}
			err := r.checkEnd(t.Context(), path, answerEnd{framing: framing.UntilClose})
			require.Equal(t, known == answered, err == nil, "%v", err)
		}
	})
}
