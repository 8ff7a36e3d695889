// Package quota divides limits of the whole fleet among the daemons. It is pure: demands
// and a clock in, shares and permits out.
//
// Limits that backend servers name are kept call by call (Pool): few calls, each of which
// counts. Quotas of workspaces are divided in proportion to demand (Owner, Tracker): many
// requests, none of which may wait for another daemon.
//
// For quotas one daemon, the owner, grants shares of a workspace's limit. A fifth of the
// limit is split evenly, so that a daemon without demand so far can begin at
// once; the rest goes by demand. Grants of one owner add up to at most 1. A
// daemon without a grant uses 1/N; so while an owner is replaced the shares add
// up to at most 2, for at most GrantFor, and with d of N daemons cut off from the
// owner to at most 1 + d/N.
package quota

import (
	"time"
)

// Periods of demands and grants.
const (
	ReportEvery = 5 * time.Second
	GrantFor    = 15 * time.Second // after which a demand or a grant is forgotten
)

// evenPart is the part of a limit that is split evenly.
const evenPart = 0.2

// Demand is what one daemon asks for.
type Demand struct {
	Workspace string  `cbor:"1,keyasint"`
	Rate      float64 `cbor:"2,keyasint"` // requests per second that arrived
}

// Grant is an owner's answer.
type Grant struct {
	Workspace string  `cbor:"1,keyasint"`
	Share     float64 `cbor:"2,keyasint"`
}

// Owner grants shares. It is not safe for concurrent use.
type Owner struct {
	demands map[string]map[string]*asked
}

type asked struct {
	rate    float64
	granted float64
	at      time.Time
}

// NewOwner returns an owner that knows no demand.
func NewOwner() *Owner { return &Owner{demands: map[string]map[string]*asked{}} }

// Grant takes a daemon's demand and returns its share among n daemons. What
// others were granted is taken back only when they ask again, so a grant never
// exceeds what is not granted.
func (o *Owner) Grant(daemon string, d Demand, n int, now time.Time) Grant {
	by := o.demands[d.Workspace]
	if by == nil {
		by = map[string]*asked{}
		o.demands[d.Workspace] = by
	}
	mine := by[daemon]
	if mine == nil {
		mine = &asked{}
		by[daemon] = mine
	}
	mine.rate, mine.at = d.Rate, now
	total, others := o.sums(by, daemon, now)
	even := evenPart / float64(max(1, n))
	fair := 0.0
	if total > 0 {
		fair = (1 - evenPart) * d.Rate / total
	}
	mine.granted = max(0, min(fair, 1-evenPart-others))
	return Grant{Workspace: d.Workspace, Share: even + mine.granted}
}

// sums returns the demand of all daemons and what others hold by demand.
func (o *Owner) sums(by map[string]*asked, daemon string, now time.Time) (total, others float64) {
	for name, a := range by {
		if now.Sub(a.at) > GrantFor {
			delete(by, name)
			continue
		}
		total += a.rate
		if name != daemon {
			others += a.granted
		}
	}
	return total, others
}

// Tracker is one daemon's side. It is not safe for concurrent use.
type Tracker struct {
	counts map[string]int // requests since the last report
	grants map[string]held
	last   time.Time
}

type held struct {
	share float64
	until time.Time
}

// NewTracker returns a tracker without grants.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{counts: map[string]int{}, grants: map[string]held{}, last: now}
}

// Share counts a request of a workspace and returns this daemon's share of its
// limit among n daemons.
func (t *Tracker) Share(workspace string, n int, now time.Time) float64 {
	t.counts[workspace]++
	if h, ok := t.grants[workspace]; ok && now.Before(h.until) {
		return h.share
	}
	return 1 / float64(max(1, n))
}

// Report returns the demands since the last report. Workspaces with a grant but
// no requests are reported with rate 0, so that the owner gives their share away.
func (t *Tracker) Report(now time.Time) []Demand {
	seconds := max(now.Sub(t.last).Seconds(), 1e-3)
	var out []Demand
	for w, n := range t.counts {
		out = append(out, Demand{Workspace: w, Rate: float64(n) / seconds})
	}
	for w, h := range t.grants {
		if t.counts[w] == 0 {
			out = append(out, Demand{Workspace: w})
		}
		if !now.Before(h.until) {
			delete(t.grants, w)
		}
	}
	t.counts = map[string]int{}
	t.last = now
	return out
}

// Take puts a grant into use.
func (t *Tracker) Take(g Grant, now time.Time) {
	t.grants[g.Workspace] = held{share: g.Share, until: now.Add(GrantFor)}
}
