package dispatch

import (
	"context"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/topology"
)

// slowLinkThreshold is the link factor below which streams move off a link.
const slowLinkThreshold = 0.25

// minSlowLinkRest is the expected remaining time above which a stream moves off a slow
// link.
const minSlowLinkRest = time.Second

// moveTarget returns the route to which the stream should move and the hop that
// the new route avoids, or nil if the stream should stay. A stream moves if a hop is
// leaving or its link is slow, enough of the stream remains, the request is
// repeatable and there is another route. This is evaluated once for each version of
// the fleet table.
func (r *run) moveTarget() (c *routing.Choice, avoided string) {
	version := r.d.table.Version()
	// The last attempts are reserved for failures.
	if !r.Repeatable() || r.moveVersion == version || r.attempt+2 >= r.d.opts.MaxAttempts {
		return nil, ""
	}
	hop, minRest := r.hopToLeave()
	if hop == "" {
		r.moveVersion = version
		return nil, ""
	}
	if len(r.prior) < 2 || r.lastAt == r.firstAt {
		return nil, ""
	}
	r.moveVersion = version
	perToken := r.lastAt.Sub(r.firstAt) / time.Duration(len(r.prior)-1)
	rest := perToken * time.Duration(r.req.MaxTokens-len(r.prior))
	if rest <= minRest {
		return nil, ""
	}
	target, err := r.repairWithout(hop)
	if err != nil {
		return nil, ""
	}
	return &target, hop
}

// hopToLeave returns a hop that is leaving or behind a slow link, or "", and the
// remaining time above which the stream should move off it.
func (r *run) hopToLeave() (hop string, minRest time.Duration) {
	if name := r.leavingHop(); name != "" {
		return name, r.d.opts.MoveThreshold
	}
	view := r.d.table.View()
	for i := 1; i < len(r.route); i++ {
		from, to := r.route[i-1].BackendServer, r.route[i].BackendServer
		if view.LinkFactor(from, to) < slowLinkThreshold {
			return serverToAvoid(view, from, to), minSlowLinkRest
		}
	}
	return "", 0
}

// serverToAvoid returns the backend server to avoid because of a slow link: the sender
// if all its links are slow, the receiver otherwise.
func serverToAvoid(view *fleet.View, from, to string) string {
	if view.LinkFactor(from, fleet.AnyServer) < slowLinkThreshold {
		return from
	}
	return to
}

// repairWithout is like repair, but also avoids hop for this call only.
func (r *run) repairWithout(hop string) (routing.Choice, error) {
	if r.avoid[hop] {
		return r.repair()
	}
	r.avoid[hop] = true
	defer delete(r.avoid, hop)
	return r.repair()
}

// moveStream moves a stream off a leaving backend server or a slow link. The KV
// cache of the replaced hops is transferred where the engines support that;
// otherwise the new hops recompute the tokens.
func (r *run) moveStream(ctx context.Context, res result) {
	r.kv = r.exportKV(ctx, r.route, res.move.Route)
	r.cancelAttempt(r.attempt)
	r.prepareAttempt(*res.move, decision.Move, "leaves "+res.failed+", kv "+orNone(r.kv))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// exportKV copies the KV cache of the layers that change their backend server and
// returns the handle of the copy, or "" if none was made.
func (r *run) exportKV(ctx context.Context, old, fresh topology.Route) string {
	handle := ""
	for _, h := range old {
		if fresh.Uses(h.BackendServer) {
			continue
		}
		to := holderOf(fresh, h.Layers)
		if to == nil {
			return ""
		}
		t := backend.Target{BackendServer: h.BackendServer, Address: h.Address}
		got, err := r.d.engine.ExportKV(ctx, t, backend.ExportKV{
			RequestID: r.req.ID, Attempt: r.attempt, Layers: h.Layers, Tokens: len(r.prior), To: to.Address,
		})
		if err != nil {
			return ""
		}
		handle = got
	}
	return handle
}

// holderOf returns the hop that runs all of the layers, or nil.
func holderOf(route topology.Route, layers topology.LayerRange) *topology.Hop {
	for i := range route {
		if route[i].Layers.Contains(layers) {
			return &route[i]
		}
	}
	return nil
}
