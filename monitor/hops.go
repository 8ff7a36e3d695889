package monitor

import (
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/topology"
)

// Load takes the load of one hop, as carried on replies.
func (m *Monitor) Load(l backend.HopLoad) {
	now := m.Clock()
	if s := m.Table.Server(l.BackendServer); s != nil {
		s.Report(l.InFlight, now.Add(-seconds(l.AgeSeconds)))
	}
	if l.Capacity > 0 {
		m.Table.Learn(l.BackendServer, l.Capacity)
	}
	m.mu.Lock()
	gapOf(m.hops, l.BackendServer).Observe(seconds(l.TokenSeconds))
	changed, factor := m.observeLink(l, now)
	m.mu.Unlock()
	if changed {
		m.setLink(linkKey{l.BackendServer, l.NextHop}, factor)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func gapOf[K comparable](gaps map[K]*health.Gap, k K) *health.Gap {
	g := gaps[k]
	if g == nil {
		g = &health.Gap{}
		gaps[k] = g
	}
	return g
}

func (m *Monitor) observeLink(l backend.HopLoad, now time.Time) (changed bool, factor float64) {
	if l.NextHop == "" || l.LinkSeconds <= 0 {
		return false, 1
	}
	k := linkKey{l.BackendServer, l.NextHop}
	gapOf(m.linkGaps, k).Observe(seconds(l.LinkSeconds))
	link := m.links[k]
	if link == nil {
		link = &health.Link{}
		m.links[k] = link
	}
	changed = link.Observe(m.opts.Link, seconds(l.LinkSeconds), now)
	return changed, link.Factor(m.opts.Link)
}

// tickLinks lets links that were degraded long enough be tried again. The
// caller holds the lock.
func (m *Monitor) tickLinks(now time.Time) {
	for k, link := range m.links {
		if link.Tick(m.opts.Link, now) {
			go m.setLink(k, link.Factor(m.opts.Link))
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

// GapBound returns the longest time between two tokens on a route: the bounds
// of its hops and links added up, and no less than the stream's own gaps allow.
func (m *Monitor) GapBound(r topology.Route, own *health.Gap) time.Duration {
	floor, ceil := m.opts.GapFloor, m.opts.GapCeiling
	sum := time.Duration(0)
	m.mu.Lock()
	for i, h := range r {
		sum += gapOf(m.hops, h.BackendServer).Bound(0, ceil)
		if i+1 < len(r) {
			if g := m.linkGaps[linkKey{h.BackendServer, r[i+1].BackendServer}]; g != nil {
				sum += g.Bound(0, ceil)
			}
		}
	}
	m.mu.Unlock()
	bound := sum
	if o := own.Bound(0, ceil); o < ceil {
		bound = max(bound, o)
	}
	return min(ceil, max(floor, bound))
}
