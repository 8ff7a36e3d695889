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

// Permits gives permits of the fleet for calls to backend servers with limits.
type Permits interface {
	// Permit asks for one call to each of some backend servers. What is granted counts as
	// sent.
	Permit(ctx context.Context, r quota.PermitRequest) quota.Decision
}

// CallLimits keeps calls within what the configuration declares that backend servers, and
// endpoints of plain services, take from all daemons together. What each daemon sends by
// itself would be within any limit while all of them are far beyond it, so each call takes a
// permit of the fleet. It is safe for concurrent use; a nil one knows no limits.
type CallLimits struct {
	declared *quota.Limits
	sends    *quota.Sends
	permits  Permits
	denials  *quota.Denials
}

// NewCallLimits returns the limits of a daemon that counts what it sends in sends.
func NewCallLimits(declared *quota.Limits, sends *quota.Sends, p Permits) *CallLimits {
	return &CallLimits{declared: declared, sends: sends, permits: p, denials: quota.NewDenials()}
}

// enter takes one call to each of some backend servers, or says which of them takes no
// more now.
func (l *CallLimits) enter(ctx context.Context, servers []string, c quota.Class) *limitReached {
	if l == nil {
		return nil
	}
	now := boottime.Now()
	var limited []string
	for _, s := range servers {
		if _, has := l.declared.Of(s); !has {
			continue
		}
		if back, denied := l.denials.Of(s, c, now); denied {
			return l.reached(s, back.Sub(now))
		}
		limited = append(limited, s)
	}
	if len(limited) > 0 {
		d := l.permits.Permit(ctx, quota.PermitRequest{Servers: limited, Class: c})
		if !d.Granted {
			l.denials.Add(c, d, now)
			return l.reached(d.Server, d.Back)
		}
	}
	for _, s := range servers {
		l.count(s, now)
	}
	return nil
}

// again counts a call to a backend server that is made without a permit, since it only
// goes on with what has begun there.
func (l *CallLimits) again(server string) {
	if l == nil {
		return
	}
	l.sends.Add(server, boottime.Now())
}

// count counts a call to a backend server without a limit: one may be declared for it
// within the window. Those with one are counted with their permits.
func (l *CallLimits) count(server string, now time.Time) {
	if _, has := l.declared.Of(server); !has {
		l.sends.Add(server, now)
	}
}

func (l *CallLimits) reached(server string, back time.Duration) *limitReached {
	limit, _ := l.declared.Of(server)
	return &limitReached{server: server, rate: limit.Rate, back: max(0, back)}
}

// limitReached says that a backend server takes no more calls now.
type limitReached struct {
	server string
	rate   float64       // requests a second, as declared
	back   time.Duration // until a refused caller may come back
}

// Error implements error.
func (e *limitReached) Error() string {
	return fmt.Sprintf("%s takes %g requests a second from all daemons", e.server, e.rate)
}

// Unwrap says that the request was not sent.
func (e *limitReached) Unwrap() error { return execution.ErrNotSent }

// limitSpread is the time over which callers that are refused together come back.
const limitSpread = 100 * time.Millisecond

// refusal is the answer to a request that nobody else can serve either.
func (e *limitReached) refusal() *apierror.Error {
	return apierror.Wrap(apierror.Overloaded, e).WithRetryAfter(e.back + rand.N(limitSpread))
}

// classOf returns for whom a permit is. The most urgent class has the lowest number.
func classOf(workspace string, priority int) quota.Class {
	return quota.Class{Workspace: workspace, Priority: -priority}
}
