// Package baseline implements common routing policies, for comparison with the policy
// of package routing.
package baseline

import (
	"math/rand/v2"

	"github.com/snowspoke/snowspoke/routing"
)

// pick selects one of the admissible nodes.
type pick func(nodes []int32, l routing.Loads, p *routing.Plan, r *rand.Rand) int32

// walk builds a route hop by hop. It returns routing.ErrFull if a hop has no admissible
// node.
func walk(p *routing.Plan, l routing.Loads, o routing.Options, r *rand.Rand, choose pick) (routing.Choice, error) {
	if !p.Routable() {
		return routing.Choice{}, routing.ErrNoRoute
	}
	var nodes []int32
	for next := p.Heads(); len(next) > 0; {
		ok := admissible(next, p, l, o)
		if len(ok) == 0 {
			return routing.Choice{}, routing.ErrFull
		}
		node := choose(ok, l, p, r)
		nodes = append(nodes, node)
		next = p.Next(node)
	}
	return routing.Choice{Route: p.RouteOf(nodes)}, nil
}

func admissible(nodes []int32, p *routing.Plan, l routing.Loads, o routing.Options) []int32 {
	var out []int32
	for _, n := range nodes {
		s := p.Nodes[n].Server
		if l.Usable(s) && !o.Avoid[p.Servers[s].Name] && (o.IgnoreLimits || !l.Full(s)) {
			out = append(out, n)
		}
	}
	return out
}

// Random picks each hop uniformly at random.
func Random(p *routing.Plan, l routing.Loads, o routing.Options, r *rand.Rand) (routing.Choice, error) {
	return walk(p, l, o, r, func(nodes []int32, _ routing.Loads, _ *routing.Plan, r *rand.Rand) int32 {
		return nodes[r.IntN(len(nodes))]
	})
}

// NewRoundRobin returns a policy that rotates over the admissible nodes of each hop.
func NewRoundRobin() func(*routing.Plan, routing.Loads, routing.Options, *rand.Rand) (routing.Choice, error) {
	turn := map[int32]int{} // by the first admissible node
	return func(p *routing.Plan, l routing.Loads, o routing.Options, r *rand.Rand) (routing.Choice, error) {
		return walk(p, l, o, r, func(nodes []int32, _ routing.Loads, _ *routing.Plan, _ *rand.Rand) int32 {
			turn[nodes[0]]++
			return nodes[turn[nodes[0]]%len(nodes)]
		})
	}
}

// LeastInFlight picks for each hop the node with the fewest expected requests in flight.
func LeastInFlight(p *routing.Plan, l routing.Loads, o routing.Options, r *rand.Rand) (routing.Choice, error) {
	return walk(p, l, o, r, func(nodes []int32, l routing.Loads, p *routing.Plan, r *rand.Rand) int32 {
		best := nodes[r.IntN(len(nodes))]
		for _, n := range nodes {
			if l.Load(p.Nodes[n].Server) < l.Load(p.Nodes[best].Server) {
				best = n
			}
		}
		return best
	})
}

// WithoutLinkLoad is the policy of package routing without the load of links.
func WithoutLinkLoad(p *routing.Plan, l routing.Loads, o routing.Options, r *rand.Rand) (routing.Choice, error) {
	return routing.Choose(p, noLinks{l}, o, r)
}

// noLinks reports a load of zero for all links.
type noLinks struct{ routing.Loads }

// LinkLoad implements routing.Loads.
func (noLinks) LinkLoad(int) float64 { return 0 }
