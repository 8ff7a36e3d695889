package monitor

import (
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/topology"
)

// ObserveLoad applies the load of one hop, as carried on replies.
func (m *Monitor) ObserveLoad(l backend.HopLoad) {
	now := m.Clock()
	if s := m.Table.Server(l.BackendServer); s != nil {
		s.ApplyLoad(l.InFlight, now.Add(-seconds(l.AgeSeconds)))
	}
	if l.Capacity > 0 {
		m.Table.SetCapacity(l.BackendServer, l.Capacity)
	}
	m.mu.Lock()
	gapFor(m.hopGaps, l.BackendServer).Observe(seconds(l.TokenSeconds))
	changes := m.observeLink(l, now)
	m.mu.Unlock()
	for _, c := range changes {
		m.setLink(c.key, c.factor)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func gapFor[K comparable](gaps map[K]*health.Gap, k K) *health.Gap {
	g := gaps[k]
	if g == nil {
		g = &health.Gap{}
		gaps[k] = g
	}
	return g
}

// linkChange is a new factor of a link, or of all links at one end.
type linkChange struct {
	key    linkKey
	factor float64
}

// observeLink records the time on one link. All links of a sender, and all links of
// a receiver, are also observed as a group: a slow port is then detected on the links
// that carry traffic, before the other links carry any. The caller holds m.mu.
func (m *Monitor) observeLink(l backend.HopLoad, now time.Time) []linkChange {
	if l.NextHop == "" || l.LinkSeconds <= 0 {
		return nil
	}
	d := seconds(l.LinkSeconds)
	k := linkKey{l.BackendServer, l.NextHop}
	gapFor(m.linkGaps, k).Observe(d)
	link := m.linkFor(k)
	if link.Baseline() == 0 {
		m.seedBaseline(link, k)
	}
	var out []linkChange
	linkChanged := link.Observe(m.opts.Link, d, now)
	if linkChanged {
		out = append(out, linkChange{k, link.Factor(m.opts.Link)})
	}
	ratio := time.Duration(link.Ratio(d) * float64(time.Millisecond))
	for _, g := range []linkKey{{k.from, fleet.AnyServer}, {fleet.AnyServer, k.to}} {
		group := m.linkFor(g)
		wasDegraded := group.Degraded()
		changed := group.Observe(m.groupConfig, ratio, now)
		// A slow group is first reported once at least two of its links are
		// degraded.
		groupDegraded := (changed || linkChanged) && group.Degraded() && m.countDegraded(g) > 1
		if changed && wasDegraded || groupDegraded {
			out = append(out, linkChange{g, group.Factor(m.groupConfig)})
		}
	}
	return out
}

// seedBaseline sets the baseline of a link that is used for the first time while
// another link of its sender is degraded. It uses the lowest baseline of the sender's
// links, because the first times of the new link may already be degraded.
func (m *Monitor) seedBaseline(link *health.Link, k linkKey) {
	if m.countDegraded(linkKey{k.from, fleet.AnyServer}) == 0 {
		return
	}
	lowest := time.Duration(0)
	for other, l := range m.links {
		if other.from == k.from && other.to != fleet.AnyServer && l.Baseline() > 0 && (lowest == 0 || l.Baseline() < lowest) {
			lowest = l.Baseline()
		}
	}
	if lowest > 0 {
		link.Seed(lowest)
	}
}

func (m *Monitor) linkFor(k linkKey) *health.Link {
	link := m.links[k]
	if link == nil {
		link = &health.Link{}
		m.links[k] = link
	}
	return link
}

// countDegraded counts the degraded links of a group.
func (m *Monitor) countDegraded(g linkKey) int {
	n := 0
	for k, link := range m.links {
		single := k.from != fleet.AnyServer && k.to != fleet.AnyServer
		if single && link.Degraded() && (k.from == g.from || k.to == g.to) {
			n++
		}
	}
	return n
}

// tickLinks starts trials of links that have been degraded long enough. The caller
// holds m.mu.
func (m *Monitor) tickLinks(now time.Time) {
	for k, link := range m.links {
		cfg := m.opts.Link
		if k.from == fleet.AnyServer || k.to == fleet.AnyServer {
			cfg = m.groupConfig
		}
		if link.Tick(cfg, now) {
			go m.setLink(k, link.Factor(cfg))
		}
	}
}

func (m *Monitor) setLink(k linkKey, factor float64) {
	m.Table.SetLinkFactor(k.from, k.to, factor)
	state := "degraded"
	if factor >= 1 {
		state = "restored"
	}
	m.Log.Add(decision.Record{
		Time: m.Clock(), Kind: decision.Health, Subject: k.from + ">" + k.to, Chosen: state,
		Reason: "time on the link against its baseline", Load: factor,
	})
}

// GapBound returns the longest expected time between two tokens on a route. It is the
// sum of the bounds of the hops and links, or the bound of own, the gaps of the
// stream itself, if that is larger, and lies between GapFloor and GapCeiling. While
// the hops and own both have too few samples, it is GapCeiling.
func (m *Monitor) GapBound(r topology.Route, own *health.Gap) time.Duration {
	floor, ceil := m.opts.GapFloor, m.opts.GapCeiling
	bound, known := m.hopBound(r, ceil)
	if own.Warm() {
		bound = max(bound, own.Bound(0, ceil))
		known = true
	}
	if !known {
		return ceil
	}
	return min(ceil, max(floor, bound))
}

// hopBound returns the sum of the bounds of a route's hops and links. known is false
// if a hop has too few samples; the sum then covers the other hops.
func (m *Monitor) hopBound(r topology.Route, ceil time.Duration) (sum time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known = true
	for i, h := range r {
		g := gapFor(m.hopGaps, h.BackendServer)
		if g.Warm() {
			sum += g.Bound(0, ceil)
		} else {
			known = false
		}
		if i+1 == len(r) {
			break
		}
		if l := m.linkGaps[linkKey{h.BackendServer, r[i+1].BackendServer}]; l != nil && l.Warm() {
			sum += l.Bound(0, ceil)
		}
	}
	return sum, known
}
