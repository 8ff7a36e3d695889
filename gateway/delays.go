package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/platform"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/site"
)

// changeDelay is the longest time that one way takes by which a change of a backend server or of the
// configuration reaches the last daemon. Each step keeps a bound of its own; only the sum is what
// the settings bound.
type changeDelay struct {
	way   string
	steps []time.Duration
	bound time.Duration // 0 if the settings have none
}

func (d changeDelay) sum() (sum time.Duration) {
	for _, s := range d.steps {
		sum += s
	}
	return sum
}

// Steps that no other package bounds.
const (
	// listDelay bounds a list of the store and its decoding at a store that is neither slow nor
	// away.
	listDelay = 150 * time.Millisecond
	// treeDelay bounds the passing on of a change over all levels of a failure domain.
	treeDelay = 150 * time.Millisecond
)

// changeDelays returns the ways of a change, from its acknowledgement by the store if all is well, from the
// loss of a source, or from the end of the disruption that holds the change back.
func changeDelays(set site.Settings) []changeDelay {
	silentWatch := inventory.WatchTimeout + platform.WatchMargin
	return []changeDelay{
		{"watch answered", []time.Duration{inventory.ServerBatchDelay, treeDelay}, set.MaxLeaveDelay},
		{"source silent", []time.Duration{relay.SilentSourceDelay(set.MaxConfigDelay), listDelay, treeDelay}, set.MaxLeaveDelay},
		{"source without the store", []time.Duration{relay.StaleSourceDelay(set.MaxConfigDelay)}, set.MaxLeaveDelay},
		{"source without the store, configuration", []time.Duration{relay.StaleSourceDelay(set.MaxConfigDelay)}, set.MaxConfigDelay},
		{"watch silent", []time.Duration{silentWatch, listDelay, treeDelay}, set.Contact},
		{"watch and list silent", []time.Duration{silentWatch, inventory.HedgeDelay, listDelay, treeDelay}, set.Contact},
		{"link to the source silent", []time.Duration{relay.SilentSourceDelay(set.MaxConfigDelay), treeDelay}, set.Contact},
		{"store back from an outage", []time.Duration{inventory.ReturnDelay, listDelay, inventory.MissingGrace, treeDelay}, set.Contact},
		{"store back, later daemons", []time.Duration{inventory.ReturnDelay, relay.FindSourceDelay, treeDelay}, set.Contact},
	}
}

// warnOfDelays logs the ways that take longer than the settings allow.
func (g *Gateway) warnOfDelays() {
	for _, d := range changeDelays(g.set) {
		if d.bound > 0 && d.sum() > d.bound {
			_ = level.Warn(g.log).Log("msg", "a change may take longer than the settings allow", "way", d.way, "takes", d.sum(), "bound", d.bound)
		}
	}
}
