package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/wait"
)

// Times that decide whether the end of a backend server is attributed to a request.
const (
	// AttributionWindow is the time after the start of an answer within which the end of the
	// backend server is attributed to the request. A request that crashes its backend server
	// does so when it begins to run, typically 40 to 110 ms after that; most others have run
	// for longer.
	AttributionWindow = 500 * time.Millisecond
	// SurvivalThreshold is the time after the start of an answer from which the request counts
	// as not crashing its backend server.
	SurvivalThreshold = time.Second
)

// verdictPoll is the pause between two looks at a part whose verdict is pending.
const verdictPoll = 20 * time.Millisecond

// Guard decides for one request whether it may be sent.
type Guard struct {
	registry *Registry
	fps      []Fingerprint
	trial    bool
}

// NewGuard returns a guard of a request for a service or model, with this content and the shared
// parts of its prompt.
func NewGuard(r *Registry, content Fingerprint, service string, parts []string) *Guard {
	fps := make([]Fingerprint, 0, 1+len(parts))
	fps = append(fps, content)
	for _, part := range parts {
		fps = append(fps, FingerprintOfPart(service, part))
	}
	return &Guard{registry: r, fps: fps}
}

// Content returns the fingerprint of the content.
func (g *Guard) Content() Fingerprint { return g.fps[0] }

// Admit decides on a request that was received from a caller, see Registry.AdmitAll. It waits for a
// pending verdict on a part, or until ctx ends. rank is as for TrialDelay.
func (g *Guard) Admit(ctx context.Context, rank func(key uint64) int) Decision {
	g.CheckRepeat(ctx)
	d := g.registry.AdmitAll(g.fps, time.Now(), TrialDelay(rank))
	g.trial = d.Trial
	return d
}

// Preview returns what Admit would return now, without waiting for a verdict. It records nothing.
func (g *Guard) Preview(rank func(key uint64) int) Decision {
	return g.registry.PreviewAll(g.fps, time.Now(), TrialDelay(rank))
}

// CheckSend decides on a request that was admitted and has not run since. A trial remains one. It
// waits like Admit.
func (g *Guard) CheckSend(ctx context.Context) (d Decision, ok bool) {
	if g.trial {
		return Decision{}, true
	}
	d = g.CheckRepeat(ctx)
	return d, !d.Quarantined && !d.Trial
}

// CheckRepeat decides on a request that may have run. It waits while the evidence against a part is
// so recent that requests that run now may still clear it.
func (g *Guard) CheckRepeat(ctx context.Context) Decision {
	for {
		now, d := time.Now(), g.Check()
		if !d.Quarantined || !d.VerdictAt.After(now) || !wait.For(ctx, min(verdictPoll, d.VerdictAt.Sub(now))) {
			return d
		}
	}
}

// Check returns the current decision.
func (g *Guard) Check() Decision { return g.registry.CheckAll(g.fps, time.Now()) }

// RecordEnd records that a backend server ended at a time under the request.
func (g *Guard) RecordEnd(s Server, w Weight, at time.Time) Decision {
	return g.registry.RecordEndOfAll(g.fps, s, w, at)
}

// Survived records that a backend server survived the request, and returns what this clears.
func (g *Guard) Survived(now time.Time) (cleared []Fingerprint) { return g.survived(g.fps, now) }

// ContentSurvived is Survived for the content alone. An answer that is a failure, or of which
// nothing is known but its start, says nothing about the parts of the prompt.
func (g *Guard) ContentSurvived(now time.Time) (cleared []Fingerprint) {
	return g.survived(g.fps[:1], now)
}

func (g *Guard) survived(fps []Fingerprint, now time.Time) (cleared []Fingerprint) {
	for _, fp := range fps {
		if g.registry.Served(fp, now) {
			cleared = append(cleared, fp)
		}
	}
	return cleared
}

// RetrySpread is the range of the random delay that is added to the retry times of quarantined
// requests.
const RetrySpread = 500 * time.Millisecond

// Refusal returns the refusal of a quarantined request.
func (d *Decision) Refusal() error {
	after := max(0, time.Until(d.Until)) + rand.N(RetrySpread)
	return apierror.New(apierror.Quarantined, "%d backend servers ended as they ran it", d.Ends).WithRetryAfter(after)
}
