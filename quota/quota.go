// Package quota divides limits of the whole fleet among the daemons. It does no I/O:
// callers pass in demands and times and apply the returned shares and permits.
//
// Limits stated by backend servers are enforced per call (Pool): calls are few, and each
// one counts. Quotas of workspaces are divided in proportion to demand (Owner, Tracker):
// requests are many, and none may wait for another daemon.
//
// For quotas one daemon, the owner, grants shares of a workspace's limit. A fixed part of
// the limit (evenShare) is split evenly, so that a daemon without prior demand can start
// at once; the rest is split by demand. Grants of one owner add up to at most 1. A daemon
// without a grant uses 1/N. While an owner is replaced the shares therefore add up to at
// most 2, for at most GrantTTL, and with d of N daemons partitioned from the owner to at
// most 1 + d/N.
package quota

import (
	"time"
)

// Periods of demands and grants.
const (
	ReportInterval = 5 * time.Second
	GrantTTL       = 15 * time.Second // time to live of a demand or a grant
)

// evenShare is the fraction of a limit that is split evenly.
const evenShare = 0.2

// Demand is the demand of one daemon.
type Demand struct {
	Workspace string  `cbor:"1,keyasint"`
	Rate      float64 `cbor:"2,keyasint"` // arrived requests per second
}

// Grant is the share of a workspace's limit that an owner grants to one daemon.
type Grant struct {
	Workspace string  `cbor:"1,keyasint"`
	Share     float64 `cbor:"2,keyasint"` // fraction of the limit
}

// Owner grants shares of the limits of workspaces. It is not safe for concurrent use.
type Owner struct {
	demands map[string]map[string]*demandEntry
}

// demandEntry is the latest demand of one daemon for a workspace.
type demandEntry struct {
	rate    float64 // requests per second
	granted float64 // share granted by demand, without the even share
	at      time.Time
}

// NewOwner returns an owner without demands.
func NewOwner() *Owner { return &Owner{demands: map[string]map[string]*demandEntry{}} }

// Grant records a daemon's demand and returns its share among n daemons. The shares of
// other daemons are reduced only at their next request, so a grant never exceeds what is
// not granted to others.
func (o *Owner) Grant(daemon string, d Demand, n int, now time.Time) Grant {
	entries := o.demands[d.Workspace]
	if entries == nil {
		entries = map[string]*demandEntry{}
		o.demands[d.Workspace] = entries
	}
	own := entries[daemon]
	if own == nil {
		own = &demandEntry{}
		entries[daemon] = own
	}
	own.rate, own.at = d.Rate, now
	total, others := o.sums(entries, daemon, now)
	even := evenShare / float64(max(1, n))
	fair := 0.0
	if total > 0 {
		fair = (1 - evenShare) * d.Rate / total
	}
	own.granted = max(0, min(fair, 1-evenShare-others))
	return Grant{Workspace: d.Workspace, Share: even + own.granted}
}

// sums returns the demand of all daemons and the shares granted to the others by demand.
func (o *Owner) sums(entries map[string]*demandEntry, daemon string, now time.Time) (total, others float64) {
	for name, e := range entries {
		if now.Sub(e.at) > GrantTTL {
			delete(entries, name)
			continue
		}
		total += e.rate
		if name != daemon {
			others += e.granted
		}
	}
	return total, others
}

// Tracker counts the demand of one daemon and holds its grants. It is not safe for
// concurrent use.
type Tracker struct {
	counts map[string]int // requests since the last report
	grants map[string]grantEntry
	last   time.Time
}

type grantEntry struct {
	share float64
	until time.Time
}

// NewTracker returns a tracker without grants.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{counts: map[string]int{}, grants: map[string]grantEntry{}, last: now}
}

// Share counts a request of a workspace and returns this daemon's share of its
// limit among n daemons.
func (t *Tracker) Share(workspace string, n int, now time.Time) float64 {
	t.counts[workspace]++
	if g, ok := t.grants[workspace]; ok && now.Before(g.until) {
		return g.share
	}
	return 1 / float64(max(1, n))
}

// Report returns the demands since the last report. Workspaces with a grant but without
// requests are reported with rate 0, so that the owner can grant their share to others.
func (t *Tracker) Report(now time.Time) []Demand {
	seconds := max(now.Sub(t.last).Seconds(), 1e-3)
	var out []Demand
	for w, n := range t.counts {
		out = append(out, Demand{Workspace: w, Rate: float64(n) / seconds})
	}
	for w, g := range t.grants {
		if t.counts[w] == 0 {
			out = append(out, Demand{Workspace: w})
		}
		if !now.Before(g.until) {
			delete(t.grants, w)
		}
	}
	t.counts = map[string]int{}
	t.last = now
	return out
}

// Apply applies a grant.
func (t *Tracker) Apply(g Grant, now time.Time) {
	t.grants[g.Workspace] = grantEntry{share: g.Share, until: now.Add(GrantTTL)}
}
