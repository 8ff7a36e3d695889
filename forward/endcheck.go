package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/site"
)

// Times of the check whether a backend server still runs.
const (
	// endCheckTimeout bounds the check if there is no response. Packets may be lost, or the
	// queue of new connections full.
	endCheckTimeout  = 1500 * time.Millisecond
	endCheckInterval = 100 * time.Millisecond
)

// checkPath returns an error if a hop of a path has ended or has started again. If there is no
// response, a request that may be repeated goes on elsewhere. For another one the answer
// stands, because the network alone may be at fault.
func (r *run) checkPath(ctx context.Context, path site.Path) error {
	since := time.Now()
	// A head closes streams when it loses another hop.
	if failed := r.f.failedHop(path[1:], since); failed != nil {
		return fmt.Errorf("%w: hop %s", errServerGone, failed.ID)
	}
	check := r.endCheck()
	errs := make([]error, len(path))
	var wg sync.WaitGroup
	for i, h := range path {
		wg.Go(func() { errs[i] = r.f.awaitResponse(ctx, h.Server, since, check) })
	}
	wg.Wait()
	for _, err := range errs {
		if isGone(err) || err != nil && r.req.Route.Repeatable() {
			return fmt.Errorf("%w: %w", errServerGone, err)
		}
	}
	return nil
}

// isGone reports whether an error shows that the process of a backend server has ended.
func isGone(err error) bool { return hasEnded(err) || errors.Is(err, ErrRestarted) }

// endCheck checks whether a backend server runs. Its result is not older than since.
type endCheck func(ctx context.Context, s *site.BackendServer, since time.Time) error

// endCheck returns the check that tells the most about the service's backend servers.
func (r *run) endCheck() endCheck {
	switch {
	case r.engine != nil:
		return r.f.checkReport
	case r.healthPath != "":
		return r.f.checkHealth(r.healthPath)
	}
	return r.f.checkListening
}

// awaitResponse repeats a check until there is a conclusive result or endCheckTimeout has
// passed.
func (f *Forwarder) awaitResponse(ctx context.Context, s *site.BackendServer, since time.Time, check endCheck) error {
	for begin := since; ; since = time.Now() {
		err := check(ctx, s, since)
		if isGone(err) {
			f.markFailed(s, "gone at the end of its answer", err, time.Now())
		}
		if err == nil || isGone(err) || time.Since(begin) >= endCheckTimeout || !wait.For(ctx, endCheckInterval) {
			return err
		}
	}
}

// checkListening connects to a backend server. It cannot tell whether the server has started
// again.
func (f *Forwarder) checkListening(ctx context.Context, s *site.BackendServer, since time.Time) error {
	_, err := f.probes.getSince(s.ID, since, f.reach(ctx, s))
	return err
}

// checkReport asks a backend server of an engine for a report.
func (f *Forwarder) checkReport(ctx context.Context, s *site.BackendServer, since time.Time) error {
	_, err := f.reports.getSince(s.ID, since, f.fetchReport(ctx, s))
	return f.orListening(ctx, s, since, err)
}

// checkHealth returns a check that makes a health check at a path.
func (f *Forwarder) checkHealth(path string) endCheck {
	return func(ctx context.Context, s *site.BackendServer, since time.Time) error {
		_, err := f.healthChecks.getSince(s.ID, since, func() (struct{}, error) {
			err := f.backends.CheckHealth(context.WithoutCancel(ctx), s, path)
			f.log.Add("health_check", "server", s.ID, "address", s.Address, "err", err)
			return struct{}{}, err
		})
		return f.orListening(ctx, s, since, err)
	}
}

// orListening returns the result of a check, or that of checkListening if the check was not
// made.
func (f *Forwarder) orListening(ctx context.Context, s *site.BackendServer, since time.Time, err error) error {
	if IsHeldBack(err) {
		return f.checkListening(ctx, s, since)
	}
	return err
}
