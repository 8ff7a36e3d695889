package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/liveness"
	"github.com/snowspoke/snowspoke/site"
)

// Times of the check whether a backend server still runs.
const (
	// endCheckTimeout bounds the check if there is no response. Packets may be lost, or the
	// queue of new connections full.
	endCheckTimeout  = 1500 * time.Millisecond
	endCheckInterval = 100 * time.Millisecond
	// minRestartTime is the least time in which a process ends and another one is there under its ID.
	minRestartTime = time.Second
)

// errUnseen is the evidence of a process whose end and restart this daemon may have missed.
var errUnseen = errors.New("forward: this daemon stood still during the answer")

// checkPath returns an error if a hop of a path has ended or has started again. If there is no
// conclusive response, a request that may be repeated goes on elsewhere. For another one the answer
// stands only if the hop accepts a connection: an answer that ends early must not look complete.
func (r *run) checkPath(ctx context.Context, path site.Path) error {
	since := time.Now()
	// A head closes streams when it loses another hop.
	if failed := r.f.failedHop(path[1:], since); failed != nil {
		return fmt.Errorf("%w: hop %s", errServerGone, failed.ID)
	}
	// The check of a plain backend server does not tell incarnations of one ID apart.
	if r.engine == nil && r.f.stalls.LongestStall(since.Add(-boottime.Since(r.req.Received)), since) >= minRestartTime {
		return fmt.Errorf("%w: %w", errServerGone, errUnseen)
	}
	check := r.endCheck()
	verdicts, errs := make([]liveness.Verdict, len(path)), make([]error, len(path))
	var wg sync.WaitGroup
	for i, h := range path {
		wg.Go(func() { verdicts[i], errs[i] = r.f.awaitResponse(ctx, h.Server, since, check) })
	}
	wg.Wait()
	for i, v := range verdicts {
		if v.Conclusive() && !v.Gone() {
			continue
		}
		if v.Gone() || r.req.Route.Repeatable() || !r.f.listensNow(ctx, path[i].Server) {
			return fmt.Errorf("%w: %s, %w", errServerGone, v, errs[i])
		}
	}
	return nil
}

// listensNow reports whether a backend server accepts a connection.
func (f *Forwarder) listensNow(ctx context.Context, s *site.BackendServer) bool {
	v, _ := f.checkListening(ctx, s, time.Now())
	return v == liveness.Listening
}

// errSuperseded is the evidence of a process whose successor has registered.
var errSuperseded = errors.New("forward: another process has registered with its name or address")

// endCheck finds out what became of the process of a backend server. Its result is not older than
// since. The error explains a verdict other than Alive and Listening.
type endCheck func(ctx context.Context, s *site.BackendServer, since time.Time) (liveness.Verdict, error)

// endCheck returns the check that tells the most about the service's backend servers.
func (r *run) endCheck() endCheck {
	identify := r.f.checkListening
	switch {
	case r.engine != nil:
		identify = r.f.checkReport
	case r.healthPath != "":
		identify = r.f.checkHealth(r.healthPath)
	}
	return func(ctx context.Context, s *site.BackendServer, since time.Time) (liveness.Verdict, error) {
		v, err := identify(ctx, s, since)
		if !v.Gone() && r.f.isSuperseded(s) {
			return liveness.Replaced, errSuperseded
		}
		return v, err
	}
}

// isSuperseded reports whether the inventory has a later incarnation of a backend server, or another
// one at its address.
func (f *Forwarder) isSuperseded(s *site.BackendServer) bool {
	view := f.inv.View()
	if view.Servers[s.ID] != nil {
		return false
	}
	for _, other := range view.Servers {
		if other.Incarnation.Newer(s.Incarnation) || other.Address == s.Address {
			return true
		}
	}
	return false
}

// verdictOf returns what the error of a check shows about a process that has accepted a connection.
func verdictOf(err error) liveness.Verdict {
	switch {
	case err == nil:
		return liveness.Alive
	case errors.Is(err, ErrRestarted):
		return liveness.Replaced
	case hasEnded(err):
		return liveness.Ended
	case errors.Is(err, execution.ErrNotSent):
		return liveness.Unknown
	}
	return liveness.Unresponsive
}

// awaitResponse repeats a check until there is a conclusive result or endCheckTimeout has
// passed.
func (f *Forwarder) awaitResponse(ctx context.Context, s *site.BackendServer, since time.Time, check endCheck) (liveness.Verdict, error) {
	for begin := since; ; since = time.Now() {
		v, err := check(ctx, s, since)
		if v.Gone() {
			f.markFailed(s, "gone at the end of its answer", err, time.Now())
		}
		if v.Conclusive() || time.Since(begin) >= endCheckTimeout || !wait.For(ctx, endCheckInterval) {
			return v, err
		}
	}
}

// watchEnd watches a backend server with which contact was lost. An address that no daemon reaches
// is as suspicious as one where nothing answers.
func (f *Forwarder) watchEnd(ctx context.Context, s *site.BackendServer, identify endCheck, notify liveness.Notify) {
	ctx = context.WithoutCancel(ctx)
	f.ends.Watch(s.ID, func() liveness.Verdict {
		if f.isSuperseded(s) {
			return liveness.Replaced
		}
		since := time.Now()
		if err := f.probeSince(ctx, s, since); err != nil {
			return f.verdictOfConnect(s, err)
		}
		v, err := identify(ctx, s, since)
		if v == liveness.Replaced {
			f.markFailed(s, "another process has its address", err, time.Now())
		}
		return v
	}, notify)
}

// verdictOfConnect returns what the error of a connection shows about a backend server with which
// contact was lost. If its record has gone as well, its process has ended.
func (f *Forwarder) verdictOfConnect(s *site.BackendServer, err error) liveness.Verdict {
	switch {
	case hasEnded(err):
		return liveness.Ended
	case errors.Is(err, detour.ErrIsolated), f.isLeaving(s.ID):
		return liveness.Unknown
	case f.inv.View().Servers[s.ID] == nil:
		return liveness.Ended
	case f.way != nil && f.way(s.Address) == detour.Unreachable:
		return liveness.Unresponsive
	}
	return liveness.Unknown
}

// checkListening connects to a backend server. It cannot tell whether the server has started
// again.
func (f *Forwarder) checkListening(ctx context.Context, s *site.BackendServer, since time.Time) (liveness.Verdict, error) {
	_, err := f.listens.getSince(s.ID, since, func() (struct{}, error) {
		return struct{}{}, f.backends.Listens(context.WithoutCancel(ctx), s)
	})
	if err == nil {
		return liveness.Listening, nil
	}
	return verdictOf(err), err
}

// checkReport asks a backend server of an engine for a report.
func (f *Forwarder) checkReport(ctx context.Context, s *site.BackendServer, since time.Time) (liveness.Verdict, error) {
	_, err := f.reports.getSince(s.ID, since, f.fetchReport(ctx, s))
	if IsHeldBack(err) {
		return f.checkListening(ctx, s, since)
	}
	return verdictOf(err), err
}

// checkHealth returns a check that makes a health check at a path. The answer names the backend
// server, not its incarnation.
func (f *Forwarder) checkHealth(path string) endCheck {
	return func(ctx context.Context, s *site.BackendServer, since time.Time) (liveness.Verdict, error) {
		_, err := f.healthChecks.getSince(s.ID, since, func() (struct{}, error) {
			err := f.backends.CheckHealth(context.WithoutCancel(ctx), s, path)
			f.log.Add("health_check", "server", s.ID, "address", s.Address, "err", err)
			return struct{}{}, err
		})
		if IsHeldBack(err) {
			return f.checkListening(ctx, s, since)
		}
		if err == nil {
			return liveness.Listening, nil
		}
		return verdictOf(err), err
	}
}
