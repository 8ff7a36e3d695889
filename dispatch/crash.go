package dispatch

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/singleflight"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/quarantine"
)

// A request may crash the engines that run it, because of its content as a whole or of a part of its
// prompt that others share. Package quarantine decides which requests are no longer sent; this file
// gives it the ends of engines and the requests that they survived.

// endCheckTimeout bounds the check whether an engine has ended. A stream goes on after it.
const endCheckTimeout = 100 * time.Millisecond

// crashes attributes the ends of engines to requests. It is safe for concurrent use.
type crashes struct {
	registry  *quarantine.Registry
	trialRank func(key uint64) int // nil for a single daemon
	isolated  func(err error) bool // nil if that is not tracked
	checks    singleflight.Group   // by engine and boot
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
	attributed bool
}

// newEvidence returns the evidence of an attempt that begins along the current route.
func (r *run) newEvidence() evidence {
	p := evidence{boots: make([]uint64, len(r.route))}
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
		r.logQuarantine("tried", d)
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
	r.logQuarantine(outcome, d)
	r.d.observe.Quarantined()
	return d.Refusal()
}

func (r *run) logQuarantine(outcome string, d quarantine.Decision) {
	r.d.log.Add(decision.Record{
		Time: r.d.clock(), Kind: decision.Quarantine, RequestID: r.req.ID, Attempt: r.attempt, Workspace: r.req.Workspace.Name,
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

// attributeEnd checks whether the engine with which contact was lost has ended, and records this
// against the request. Of the hops of one attempt only the first that has ended counts.
func (r *run) attributeEnd(ctx context.Context, server string) {
	now := r.d.clock()
	weight := r.evidence.weight(now)
	i := r.route.Index(server)
	if i < 0 || weight == 0 || r.evidence.attributed || r.d.table.Leaving(server) {
		return
	}
	boot := r.evidence.boots[i]
	t := backend.Target{BackendServer: server, Address: r.route[i].Address}
	if !r.d.crashes.hasEnded(context.WithoutCancel(ctx), r.d.engine, t, boot) {
		return
	}
	r.evidence.attributed = true
	id := quarantine.Server(xxhash.Sum64String(server + "/" + strconv.FormatUint(boot, 16)))
	d := r.guard.RecordEnd(id, weight, now)
	r.d.observe.ServerEnded()
	r.logQuarantine("ended "+server, d)
}

// hasEnded reports whether the process of an engine has ended: its VM refuses connections, or
// another boot answers.
func (c *crashes) hasEnded(ctx context.Context, e backend.Engine, t backend.Target, boot uint64) bool {
	ended, _, _ := c.checks.Do(fmt.Sprint(t.BackendServer, "/", boot), func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
		defer cancel()
		st, err := e.Status(ctx, t)
		if err != nil {
			return c.isRefusedConnection(err), nil
		}
		return boot != 0 && st.Boot != boot, nil
	})
	return ended.(bool)
}

// isRefusedConnection reports whether a call failed because nobody listens at the address.
func (c *crashes) isRefusedConnection(err error) bool {
	if c.isolated != nil && c.isolated(err) {
		return false
	}
	return errors.Is(err, execution.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)
}
