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

// slowLink is the share of its capacity below which a link makes streams move.
const slowLink = 0.25

// slowRest is the expected rest of a stream from which it leaves a slow link.
const slowRest = time.Second

// moveTarget returns where the stream should go on and which hop it leaves, or
// nil to stay: a hop is
// leaving or its link has become slow, enough of the stream is left, the request
// may be sent again, and there is another route. It is looked at once for each
// change of the fleet.
func (r *run) moveTarget() (c *routing.Choice, leaves string) {
	version := r.d.table.Version()
	// The last attempts are kept for failures.
	if !r.Repeatable() || r.moveSeen == version || r.attempt+2 >= r.d.opts.MaxAttempts {
		return nil, ""
	}
	hop, least := r.troubledHop()
	if hop == "" {
		r.moveSeen = version
		return nil, ""
	}
	if len(r.prior) < 2 || r.lastAt == r.firstAt {
		return nil, ""
	}
	r.moveSeen = version
	perToken := r.lastAt.Sub(r.firstAt) / time.Duration(len(r.prior)-1)
	rest := perToken * time.Duration(r.req.MaxTokens-len(r.prior))
	if rest <= least {
		return nil, ""
	}
	target, err := r.repairWithout(hop)
	if err != nil {
		return nil, ""
	}
	return &target, hop
}

// troubledHop returns a hop that the stream had better leave, or "", and the
// rest of a stream from which that is worth it.
func (r *run) troubledHop() (hop string, least time.Duration) {
	if name := r.leavingHop(); name != "" {
		return name, r.d.opts.MoveAfter
	}
	view := r.d.table.View()
	for i := 1; i < len(r.route); i++ {
		from, to := r.route[i-1].BackendServer, r.route[i].BackendServer
		if view.LinkFactor(from, to) < slowLink {
			return slowEnd(view, from, to), slowRest
		}
	}
	return "", 0
}

// slowEnd returns the backend server to leave for a slow link: the sender if all
// its links are slow, the receiver otherwise.
func slowEnd(view *fleet.View, from, to string) string {
	if view.LinkFactor(from, fleet.AnyServer) < slowLink {
		return from
	}
	return to
}

// repairWithout is repair that avoids one more backend server, this time only.
func (r *run) repairWithout(hop string) (routing.Choice, error) {
	if r.avoid[hop] {
		return r.repair()
	}
	r.avoid[hop] = true
	defer delete(r.avoid, hop)
	return r.repair()
}

// moveAway takes a stream off a leaving backend server or a slow link: the KV
// cache of the hops that change goes to the new route where the engines can do that, otherwise
// the tokens are computed again there.
func (r *run) moveAway(ctx context.Context, res result) {
	r.kv = r.exportKV(ctx, r.route, res.move.Route)
	r.cancelAttempt(r.attempt)
	r.startAnother(*res.move, decision.Move, "leaves "+res.failed+", kv "+orNone(r.kv))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// exportKV copies the KV cache of the layers that change their backend server
// and returns the handle under which the new ones have it, or "".
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
