package dispatch

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/liveness"
	"github.com/snowspoke/snowspoke/quarantine"
)

// A request may crash the engines that run it, because of its content as a whole or of a part of its
// prompt that others share. Package quarantine decides which requests are no longer sent; this file
// gives it the ends of engines and the requests that they survived.

// Times of the checks of an engine with which contact was lost.
const (
	// identifyTimeout bounds the wait for what became of the engine. A stream goes on after it.
	identifyTimeout = 100 * time.Millisecond
	// statusTimeout bounds one check.
	statusTimeout = 500 * time.Millisecond
)

// crashes attributes the ends of engines to requests. It is safe for concurrent use.
type crashes struct {
	registry  *quarantine.Registry
	trialRank func(key uint64) int // nil for a single daemon
	isolated  func(err error) bool // nil if that is not tracked
	ends      liveness.Watcher     // by engine and boot
}

// guard returns the guard of a request.
func (r *Request) guard(registry *quarantine.Registry) *quarantine.Guard {
	return quarantine.NewGuard(registry, r.contentFingerprint(), r.Model, r.Parts)
}

// contentFingerprint identifies the content of the request. Requests without a body hash are all
// different.
func (r *Request) contentFingerprint() quarantine.Fingerprint {
	if r.BodyHash == 0 {
		return quarantine.FingerprintOf([]byte(r.ID))
	}
	hash := binary.LittleEndian.AppendUint64(nil, r.BodyHash)
	return quarantine.FingerprintOf([]byte(r.Workspace.Name), []byte(r.Model), hash)
}

// evidence is the state of one attempt that decides whether the end of an engine counts against the
// request.
type evidence struct {
	boots      []uint64 // of the engines of the route, 0 if unknown
	opened     bool     // the stream was opened
	firstAt    time.Time
	survived   bool
	attributed *attribution
}

// attribution is the engine whose end was attributed to an attempt. Of the hops of one attempt only
// the first that is found to have ended counts. It is safe for concurrent use.
type attribution struct{ engine atomic.Pointer[string] }

// claim reports whether the end of an engine counts.
func (a *attribution) claim(engine string) bool {
	return a.engine.CompareAndSwap(nil, &engine) || *a.engine.Load() == engine
}

// newEvidence returns the evidence of an attempt that begins along the current route.
func (r *run) newEvidence() evidence {
	p := evidence{boots: make([]uint64, len(r.route)), attributed: &attribution{}}
	for i, h := range r.route {
		p.boots[i] = r.d.table.Boot(h.BackendServer)
	}
	return p
}

// weight returns the weight of the end of an engine now as evidence against the request, 0 for none.
func (p *evidence) weight(now time.Time) quarantine.Weight {
	switch {
	case !p.opened:
		return quarantine.Possible
	case p.firstAt.IsZero() || now.Sub(p.firstAt) <= quarantine.AttributionWindow:
		return quarantine.Likely
	}
	return 0
}

// admitQuarantine refuses a quarantined request.
func (r *run) admitQuarantine(ctx context.Context) error {
	d := r.guard.Admit(ctx, r.d.crashes.trialRank)
	if d.Trial {
		r.logQuarantine(r.attempt, "tried", d)
	}
	if d.Quarantined {
		return r.quarantined("held back", d)
	}
	return nil
}

// checkQuarantine refuses a request that became quarantined after it was admitted. hasRun is set if
// it may have run.
func (r *run) checkQuarantine(ctx context.Context, hasRun bool) error {
	if hasRun {
		if d := r.guard.CheckRepeat(ctx); d.Quarantined {
			return r.quarantined("not sent again", d)
		}
		return nil
	}
	if d, ok := r.guard.CheckSend(ctx); !ok {
		return r.quarantined("held back after it was admitted", d)
	}
	return nil
}

func (r *run) quarantined(outcome string, d quarantine.Decision) error {
	r.logQuarantine(r.attempt, outcome, d)
	r.d.observe.Quarantined()
	return d.Refusal()
}

func (r *run) logQuarantine(attempt int, outcome string, d quarantine.Decision) {
	r.d.log.Add(decision.Record{
		Time: r.d.clock(), Kind: decision.Quarantine, RequestID: r.req.ID, Attempt: attempt, Workspace: r.req.Workspace.Name,
		Subject: r.guard.Content().String(), Chosen: outcome,
		Reason: fmt.Sprintf("part %s, %d ends, score %d, until %s", d.Part, d.Ends, d.Score, d.Until.UTC().Format(time.RFC3339)),
	})
}

// noteToken records that the engines survived the request, at the first token that shows it.
func (r *run) noteToken(now time.Time) {
	p := &r.evidence
	if p.firstAt.IsZero() {
		p.firstAt = now
	}
	if !p.survived && now.Sub(p.firstAt) >= quarantine.SurvivalThreshold {
		p.survived = true
		r.guard.Survived(now)
	}
}

// attributeEnd finds out whether the engine with which contact was lost has ended, and records this
// against the request. It waits for a bounded time, and no longer if the engine cannot be connected to; a
// later result is recorded all the same.
func (r *run) attributeEnd(ctx context.Context, server string) {
	now := r.d.clock()
	weight := r.evidence.weight(now)
	i := r.route.Index(server)
	if i < 0 || weight == 0 || r.d.table.Leaving(server) {
		return
	}
	boot, attributed, attempt := r.evidence.boots[i], r.evidence.attributed, r.attempt
	engine := server + "/" + strconv.FormatUint(boot, 16)
	t := backend.Target{BackendServer: server, Address: r.route[i].Address}
	ctx = context.WithoutCancel(ctx)
	known := make(chan struct{}, liveness.MaxReports)
	r.d.crashes.ends.Watch(engine, func() liveness.Verdict { return r.d.crashes.check(ctx, r.d.engine, t, boot) }, func(v liveness.Verdict, _ bool) {
		w := weight
		if v == liveness.Unresponsive {
			w = quarantine.Possible
		}
		if (v.Gone() || v == liveness.Unresponsive) && attributed.claim(engine) {
			d := r.guard.RecordEnd(quarantine.Server(xxhash.Sum64String(engine)), w, now)
			r.d.observe.ServerEnded()
			r.logQuarantine(attempt, fmt.Sprintf("%s %s", v, server), d)
		}
		known <- struct{}{}
	})
	timer := time.NewTimer(identifyTimeout)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	}
}

// check returns what is known of the process of an engine: its VM refuses connections, or another
// boot answers.
func (c *crashes) check(ctx context.Context, e backend.Engine, t backend.Target, boot uint64) liveness.Verdict {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := e.Status(ctx, t)
	switch {
	case err == nil && boot == 0:
		return liveness.Listening
	case err == nil && st.Boot != boot:
		return liveness.Replaced
	case err == nil:
		return liveness.Alive
	case c.isRefusedConnection(err):
		return liveness.Ended
	case errors.Is(err, execution.ErrNotSent):
		return liveness.Unknown
	}
	return liveness.Unresponsive
}

// isRefusedConnection reports whether a call failed because nobody listens at the address.
func (c *crashes) isRefusedConnection(err error) bool {
	if c.isolated != nil && c.isolated(err) {
		return false
	}
	return errors.Is(err, execution.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)
}
