package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/internal/wait"
)

// Distribution of slow and saturated backend servers, as they report themselves. A daemon
// sends suspected servers up the tree with its pings. In each failure domain the daemon
// that follows the store queries these, the servers of its domain that may be saturated
// according to the known loads, and those already known to be slow or saturated. It sends
// the results down the tree and to the other domains. So only one daemon queries a server.

// Intervals and bounds of polling backend servers.
const (
	// pollInterval is the time between two polls. A saturated server is queried at each
	// poll, since traffic avoids it until it reports capacity again. Others are queried at
	// most once per queryInterval, which bounds the cost of the calls. A report lags by a
	// few hundred milliseconds, so an early query can miss a slow server.
	pollInterval  = 250 * time.Millisecond
	queryInterval = time.Second
	// slowThreshold is the slowdown at which a server is reported as slow. Lower values are
	// within the variation between requests.
	slowThreshold = 1.5
	// maxSlowdown bounds the slowdown that is accepted.
	maxSlowdown = 1000
	// reportThreshold is the memory share at which a condition is reported,
	// saturationThreshold the one at which a server counts as saturated. usageStep is the
	// resolution of reported shares: requests in flight change the share by a
	// few hundredths.
	reportThreshold     = 0.7
	saturationThreshold = 0.9
	usageStep           = 0.02
	// maxWaiting bounds the reported queue length; it is encoded as uint8.
	maxWaiting = 255
	// maxSaturationChecks bounds the servers that one poll queries because they may be
	// saturated.
	maxSaturationChecks = 16
	// maxConcurrentQueries bounds concurrent calls.
	maxConcurrentQueries = 8
	// maxSuspects bounds the suspects in a ping, at five bytes each. A few slow servers make
	// nearly all paths suspect, and those left out are found a second later.
	maxSuspects = 256
)

// conditionRegistry holds the suspects of this daemon and its followers, and the
// conditions received from each peer. It is safe for concurrent use.
type conditionRegistry struct {
	mu       sync.Mutex
	suspects map[uint32]bool
	reported map[string]map[uint32]packedCondition // by reporter
	version  uint64                                // of reported
	changed  chan struct{}                         // closed at the next change of reported
	outbox   map[string][]uint32                   // suspects for the sources of other domains; a key for each linked domain
}

func newConditionRegistry() *conditionRegistry {
	return &conditionRegistry{suspects: map[uint32]bool{}, reported: map[string]map[uint32]packedCondition{}, outbox: map[string][]uint32{}, changed: make(chan struct{})}
}

// localKey is the key of this daemon's own findings in conditionRegistry.reported.
const localKey = ""

// addSuspects adds suspects, up to maxSuspects.
func (r *conditionRegistry) addSuspects(servers []uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		if len(r.suspects) < maxSuspects {
			r.suspects[s] = true
		}
	}
}

// takeSuspects returns and clears the suspects.
func (r *conditionRegistry) takeSuspects() []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint32
	for s := range r.suspects {
		out = append(out, s)
	}
	clear(r.suspects)
	return out
}

// replace sets all conditions reported by one peer, nil for none, and drops invalid ones.
// It reports whether they changed.
func (r *conditionRegistry) replace(from string, reported []packedCondition) bool {
	now := make(map[uint32]packedCondition, len(reported))
	for _, s := range reported {
		if s.valid() {
			now[s.Server] = s
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(r.reported[from], now) {
		return false
	}
	r.reported[from] = now
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// merged returns the worst reported condition of each server, with the version of the
// registry. include selects the reporters, nil for all.
func (r *conditionRegistry) merged(include func(from string) bool) (known map[uint32]packedCondition, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known = map[uint32]packedCondition{}
	for from, reported := range r.reported {
		if include != nil && !include(from) {
			continue
		}
		for s, c := range reported {
			known[s] = c.worse(known[s])
		}
	}
	return known, r.version
}

func packConditions(known map[uint32]packedCondition) []packedCondition {
	return slices.Collect(maps.Values(known))
}

// collectSuspects adds the suspects of this daemon to those of its followers.
func (n *Node) collectSuspects() {
	ids := n.loadExchange.TakeSuspects()
	hashes := make([]uint32, len(ids))
	for i, id := range ids {
		hashes[i] = serverHash(id)
	}
	n.conditions.addSuspects(hashes)
}

// applyConditions sets the conditions reported by one peer. If they changed, it passes the
// merged conditions of all peers to the LoadExchange.
func (n *Node) applyConditions(from string, reported []packedCondition) {
	if n.conditions.replace(from, reported) {
		n.passConditions(false)
	}
}

// passConditions passes the merged conditions of the backend servers in the inventory to
// the LoadExchange. With onlyUnresolved it does so only if the last call left out servers
// that the inventory did not have.
func (n *Node) passConditions(onlyUnresolved bool) {
	n.passMu.Lock()
	defer n.passMu.Unlock()
	if onlyUnresolved && !n.unresolved {
		return
	}
	known, _ := n.conditions.merged(nil)
	names := n.serverNames()
	out := make(map[string]Condition, len(known))
	for hash, c := range known {
		if id, ok := names[hash]; ok {
			out[id] = c.unpack()
		}
	}
	n.unresolved = len(out) < len(known)
	n.loadExchange.SetConditions(out)
}

// resolveConditions passes conditions of backend servers that were unknown when they were
// received once the inventory has the servers, until ctx ends.
func (n *Node) resolveConditions(ctx context.Context) {
	for {
		changed := n.inv.Changed()
		n.passConditions(true)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// changes returns a channel that is closed at the next change of the reported conditions.
func (r *conditionRegistry) changes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// minConditionsInterval is the least time between two frames with conditions on one link.
// Two links add 0.2 s at most, less than the lag of the reports.
const minConditionsInterval = 100 * time.Millisecond

// pushConditions sends a follower the slow and saturated backend servers whenever they
// change, until the link ends. They are pushed rather than added to pongs, so that all
// daemons avoid a saturated first hop at once.
func (n *Node) pushConditions(ctx context.Context, c *websocket.Conn) {
	sent := uint64(0)
	for {
		changes := n.conditions.changes()
		known, version := n.conditions.merged(nil)
		if version != sent {
			if writeFrame(ctx, c, &frame{Conditions: &conditions{Known: packConditions(known)}}) != nil {
				return // the link has ended
			}
			sent = version
			if !wait.For(ctx, minConditionsInterval) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

// enqueue adds a suspect for the source of another domain. It returns false if there is no
// link to that source.
func (r *conditionRegistry) enqueue(domain string, server uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending, linked := r.outbox[domain]
	if linked && len(pending) < maxSuspects {
		r.outbox[domain] = append(pending, server)
	}
	return linked
}

// setLinked records whether there is a link to the source of another domain. Without a
// link the outbox of that domain is dropped.
func (r *conditionRegistry) setLinked(domain string, up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !up {
		delete(r.outbox, domain)
		return
	}
	if _, linked := r.outbox[domain]; !linked {
		r.outbox[domain] = nil
	}
}

// drainOutbox returns and clears the suspects for the source of another domain.
func (r *conditionRegistry) drainOutbox(domain string) []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, linked := r.outbox[domain]
	if linked {
		r.outbox[domain] = nil
	}
	return out
}

// pollConditions polls the backend servers that may be slow or saturated while this daemon
// follows the store.
func (n *Node) pollConditions(ctx context.Context) {
	defer n.applyConditions(localKey, nil)
	queriedAt := map[uint32]time.Time{}
	for wait.For(ctx, pollInterval) {
		n.collectSuspects()
		now := time.Now()
		due := n.dueQueries(queriedAt, now)
		if len(due) > 0 {
			n.applyConditions(localKey, n.queryConditions(ctx, due))
		}
		maps.DeleteFunc(queriedAt, func(_ uint32, at time.Time) bool { return now.Sub(at) > queryInterval })
	}
}

// dueQueries returns the IDs of the backend servers to be queried now, by hash, and
// records the time in queriedAt. A slow or saturated server that is gone from the
// inventory has an empty ID.
func (n *Node) dueQueries(queriedAt map[uint32]time.Time, now time.Time) map[uint32]string {
	names := n.serverNames()
	due := map[uint32]string{}
	add := func(server uint32, interval time.Duration) {
		id, known := names[server]
		if known && now.Sub(queriedAt[server]) >= interval {
			due[server], queriedAt[server] = id, now
		}
	}
	found, _ := n.conditions.merged(func(from string) bool { return from == localKey })
	for s, c := range found {
		switch _, known := names[s]; {
		case !known:
			due[s] = ""
		case c.saturated():
			add(s, 0)
		default:
			add(s, queryInterval)
		}
	}
	candidates, before := n.opts.ConditionReader.MaybeSaturated(), len(due)
	for _, i := range rand.Perm(len(candidates)) {
		if len(due)-before >= maxSaturationChecks {
			break
		}
		add(serverHash(candidates[i]), queryInterval)
	}
	for _, s := range n.conditions.takeSuspects() {
		domain := n.opts.ConditionReader.DomainOf(names[s])
		if domain == n.opts.Domain || !n.conditions.enqueue(domain, s) {
			add(s, queryInterval)
		}
	}
	return due
}

// queryConditions queries the servers in due. It returns the conditions of all servers
// that this daemon has found to be slow or saturated. Servers that are not due keep their
// condition; those without an ID are dropped.
func (n *Node) queryConditions(ctx context.Context, due map[uint32]string) []packedCondition {
	found, _ := n.conditions.merged(func(from string) bool { return from == localKey })
	maps.DeleteFunc(found, func(s uint32, _ packedCondition) bool {
		_, isDue := due[s]
		return isDue
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for s, id := range due {
		if id == "" {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			c, err := n.opts.ConditionReader.Condition(ctx, id)
			p := packCondition(s, c)
			if err != nil || !p.valid() {
				return // healthy, or unreachable, which its callers detect
			}
			mu.Lock()
			defer mu.Unlock()
			found[s] = p
		})
	}
	wg.Wait()
	return packConditions(found)
}
