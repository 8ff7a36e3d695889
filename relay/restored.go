package relay

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/internal/wait"
)

// A daemon that starts after the store was restored from a copy, or that the store did not answer
// before, would take an outdated configuration for current until the configuration in force is written
// again. It therefore queries other daemons.

const (
	// configQueryTimeout bounds how long a daemon waits for the configuration of other daemons, while
	// callers wait.
	configQueryTimeout = 300 * time.Millisecond
	// configQueryPause is the pause between two checks whether to query them.
	configQueryPause = 200 * time.Millisecond
)

// prepare runs once before this daemon first follows the store.
func (n *Node) prepare(ctx context.Context) {
	if n.opts.BeforeStore != nil {
		n.opts.BeforeStore(ctx)
	}
	if n.opts.Restored != nil && n.opts.Restored() && n.inv.State().ConfigVersion == 0 {
		n.queryConfigs(ctx)
	}
}

// confirmConfig queries other daemons for the configuration in force whenever the store that this daemon
// follows may lack it, until ctx ends.
func (n *Node) confirmConfig(ctx context.Context) {
	for wait.For(ctx, configQueryPause) {
		if n.inv.DoubtsConfig() {
			n.queryConfigs(ctx)
		}
	}
}

// queryConfigs queries the daemons that may follow the store for the configuration in
// force, and applies the newest.
func (n *Node) queryConfigs(ctx context.Context) {
	ctx, cancel := n.opts.Stalls.WithTimeout(ctx, configQueryTimeout)
	defer cancel()
	queried := slices.AppendSeq(n.successors(), maps.Values(n.otherSources()))
	var wg sync.WaitGroup
	for _, m := range queried {
		wg.Go(func() { n.queryConfig(ctx, m) })
	}
	wg.Wait()
	_ = level.Info(n.logger).Log("msg", "decision", "kind", "configuration asked for", "reason", "the store came back from a copy",
		"asked", len(queried), "version", n.inv.State().ConfigVersion, "doubted", n.inv.DoubtsConfig())
}

func (n *Node) queryConfig(ctx context.Context, m Member) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+Path+"?"+configParam, nil)
	if err != nil {
		return
	}
	resp, err := n.dialer.Do(req)
	if err != nil {
		return // starting as well, or gone
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	data, err := readall.AtMost(resp.Body, maxFrameBytes)
	if err != nil {
		return
	}
	if f, err := unpackFrame(data); err == nil && f.Pong != nil && f.Pong.Config != nil {
		n.inv.ApplyConfirmed(f.Pong.Config, f.Pong.Age)
	}
}

// serveConfig answers a query for the configuration in force, also while the store is lost: a daemon that
// asks may know less.
func (n *Node) serveConfig(w http.ResponseWriter) {
	s := n.inv.State()
	if s.ConfigVersion == 0 {
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
		return
	}
	data, err := encodeFrame(&frame{Pong: &pong{Version: s.ConfigVersion, Age: n.inv.Age(boottime.Now()), Config: s.Config}})
	if err != nil {
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // the other daemon may be gone
}
