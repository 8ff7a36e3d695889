package standins

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

const (
	alienRounds = 5
	// untilHeartbeat is the time from the entry of another writer to the next write of the runner,
	// which is less than heartbeatMs.
	untilHeartbeat = time.Second
)

// playAlien writes an entry of another writer, in which fields are missing. The rule is that no service
// runs a request that no configuration allows to go to it.
func playAlien(p *play) {
	store := standin.NewStore()
	defer store.Close()
	own, foreign := p.newRunner("runner-1", ""), p.newRunner("runner-2", "")
	born := time.Now().UnixMilli()
	store.Set("servers", own.id, own.entry("zone-a", "ready", born))
	right := foreign.entry("zone-a", "ready", born)
	right["service"] = "other"
	store.Set("servers", foreign.id, right)
	c := config(13, []string{keptKey}, nil)
	c["routes"] = append(c["routes"].([]map[string]any), route("other", "/other/", "safe", "other"))
	c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": "other", "maxConns": 100, "healthPath": "/health"})
	store.Set("config", "main", c)
	d := p.newDaemon(0, "front-a-1", "zone-a", store.Address())
	defer d.keep()
	p.awaitReady(d)
	time.Sleep(4 * time.Second)
	for round := range alienRounds {
		if p.trouble {
			entry := maps.Clone(right)
			entry["service"] = "plain"
			for _, missing := range []string{"version", "coldLeftMs", "sequence", "born"} {
				delete(entry, missing)
			}
			store.Set("servers", foreign.id, entry)
			p.note("another writer: entry %s is %v", foreign.id, entry)
		}
		var wg sync.WaitGroup
		for began, n := time.Now(), 0; time.Since(began) < untilHeartbeat; n++ {
			kind := []string{"safe", "unsafe", "other"}[n%3]
			id := fmt.Sprintf("%s-%d-%d", kind, round, n)
			wg.Go(func() {
				a := call(d, "POST", "/"+kind+"/work", keptKey, id)
				p.note("caller of %s gets %d, seal %q, error %v", id, a.Status, a.Header.Get("Snowspoke-Server-Seal"), a.Err)
			})
			time.Sleep(50 * time.Millisecond)
		}
		if p.trouble {
			store.Set("servers", foreign.id, right)
			p.note("runner %s: its entry is written", foreign.id)
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
	}
	judge := func(r *runner, allowed ...string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, l := range r.lines {
			id, ran := strings.CutPrefix(l, "runs ")
			kind, _, _ := strings.Cut(id, "-")
			if ran && !strings.Contains(strings.Join(allowed, " "), kind) {
				p.breaks("runner %s runs %s, whose route is of another service", r.id, id)
			}
		}
	}
	judge(own, "safe", "unsafe")
	judge(foreign, "other")
}
