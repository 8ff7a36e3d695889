package pipeline

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Ranked returns up to n paths by their cost. The first one is the path that Choose returns for
// the same r. The others are the cheapest paths without one of its hops. Paths that lack memory
// for the request are included; there are none if the candidates do not cover all layers.
func Ranked(q *Query, candidates []Candidate, r *rand.Rand, n int) []Choice {
	hops := hopCosts(q, candidates, r)
	best, ok := cheapest(q, candidates, hops)
	if !ok {
		return nil
	}
	var others []Choice
	known := map[string]bool{best.Path.String(): true}
	for _, h := range best.Path {
		i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Server.ID == h.Server.ID })
		rest, restHops := slices.Concat(candidates[:i], candidates[i+1:]), slices.Concat(hops[:i], hops[i+1:])
		c, ok := cheapest(q, rest, restHops)
		if key := c.Path.String(); ok && !known[key] {
			known[key] = true
			others = append(others, c)
		}
	}
	slices.SortStableFunc(others, func(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) })
	return append([]Choice{best}, others[:min(len(others), n-1)]...)
}

// cheapest returns the cheapest path for given costs of the hops.
func cheapest(q *Query, candidates []Candidate, hops []hopCost) (c Choice, ok bool) {
	steps, cost := search(q, candidates, hops)
	if steps == nil {
		return Choice{}, false
	}
	c = predict(q, steps)
	c.Cost = cost
	return c, true
}
