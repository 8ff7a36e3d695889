package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/quota"
)

// Permits grants calls to backend servers whose limits the fleet shares.
type Permits interface {
	// Permit requests one call to each of the backend servers. Granted calls count
	// as sent.
	Permit(ctx context.Context, r quota.PermitRequest) quota.Decision
}

// CallLimits enforces the declared request rates of backend servers and of
// endpoints of plain services. A declared rate applies to all daemons together, which
// may exceed it by far while each of them stays below it, so each call needs a permit. It
// is safe for concurrent use; a nil CallLimits enforces nothing.
type CallLimits struct {
	declared *quota.Limits
	sends    *quota.Sends
	permits  Permits
	denials  *quota.Denials
}

// NewCallLimits returns limits that count calls in sends and take permits from p.
func NewCallLimits(declared *quota.Limits, sends *quota.Sends, p Permits) *CallLimits {
	return &CallLimits{declared: declared, sends: sends, permits: p, denials: quota.NewDenials()}
}

// acquire takes one call to each of the backend servers, or returns the limit that
// was reached.
func (l *CallLimits) acquire(ctx context.Context, servers []string, c quota.Class) *limitReached {
	if l == nil {
		return nil
	}
	now := boottime.Now()
	var limited []string
	for _, s := range servers {
		if _, has := l.declared.Of(s); !has {
			continue
		}
		if until, denied := l.denials.Of(s, c, now); denied {
			return l.newLimitReached(s, until.Sub(now))
		}
		limited = append(limited, s)
	}
	if len(limited) > 0 {
		d := l.permits.Permit(ctx, quota.PermitRequest{Servers: limited, Class: c})
		if !d.Granted {
			l.denials.Add(c, d, now)
			return l.newLimitReached(d.Server, d.RetryAfter)
		}
	}
	for _, s := range servers {
		l.count(s, now)
	}
	return nil
}

// countContinued counts a call that continues a request on the backend server that
// already runs it. Such a call needs no permit.
func (l *CallLimits) countContinued(server string) {
	if l == nil {
		return
	}
	l.sends.Add(server, boottime.Now())
}

// count counts a call to a backend server without a limit. If a limit is declared
// later, calls of the current window then count against it. Calls to backend
// servers with a limit are counted when their permits are granted.
func (l *CallLimits) count(server string, now time.Time) {
	if _, has := l.declared.Of(server); !has {
		l.sends.Add(server, now)
	}
}

func (l *CallLimits) newLimitReached(server string, retryAfter time.Duration) *limitReached {
	limit, _ := l.declared.Of(server)
	return &limitReached{server: server, rate: limit.Rate, retryAfter: max(0, retryAfter)}
}

// limitReached reports that the limit of a backend server allows no call now.
type limitReached struct {
	server     string
	rate       float64       // declared, in requests per second
	retryAfter time.Duration // until a refused caller may retry
}

// Error implements error.
func (e *limitReached) Error() string {
	return fmt.Sprintf("%s takes %g requests a second from all daemons", e.server, e.rate)
}

// Unwrap returns execution.ErrNotSent.
func (e *limitReached) Unwrap() error { return execution.ErrNotSent }

// retryJitter is the jitter added to the retry delay, so that callers refused
// together do not retry together.
const retryJitter = 100 * time.Millisecond

// apiError returns the answer to a request that no other backend server can serve.
func (e *limitReached) apiError() *apierror.Error {
	return apierror.Wrap(apierror.Overloaded, e).WithRetryAfter(e.retryAfter + rand.N(retryJitter))
}

// classOf returns the class of a permit. The most urgent class has the lowest
// number, so the priority is negated.
func classOf(workspace string, priority int) quota.Class {
	return quota.Class{Workspace: workspace, Priority: -priority}
}
