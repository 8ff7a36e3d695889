package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// clockStep is how far the time of day of a runner's machine is ahead.
const clockStep = 2400 * time.Millisecond

// playBorn starts a runner while its time of day is ahead. It crashes and is back under its ID, once
// its time of day is right again, and later leaves in order. The rule is that no request reaches it later than drainMs after the store has
// acknowledged that it is draining.
func playBorn(p *play) {
	store := standin.NewStore()
	defer store.Close()
	staying := p.newRunner("runner-2", "")
	store.Set("servers", staying.id, staying.entry("zone-a", "ready", time.Now().UnixMilli()))
	store.Set("config", "main", config(13, []string{keptKey}, nil))
	d := p.newDaemon(0, "front-a-1", "zone-a", store.Address())
	defer d.keep()
	p.awaitReady(d)
	time.Sleep(4 * time.Second)
	leaving := p.newRunner("runner-1", "")
	born := time.Now().UnixMilli()
	if p.trouble {
		born += clockStep.Milliseconds()
	}
	register := func(state string) {
		store.Set("servers", leaving.id, leaving.entry("zone-a", state, born))
		p.note("runner %s: its entry is written, %s, born %d", leaving.id, state, born)
	}
	register("ready")
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		leaving.kill()
		time.Sleep(1500 * time.Millisecond)
		leaving.start()
		born = time.Now().UnixMilli()
		register("ready")
	}
	time.Sleep(4 * time.Second)
	leaving.leave()
	register("draining")
	acknowledged := time.Now()
	var wg sync.WaitGroup
	for n := 0; time.Since(acknowledged) < 3400*time.Millisecond; n++ {
		at := time.Since(acknowledged)
		id := fmt.Sprintf("request-%d", n)
		if at > 2*time.Second {
			id = fmt.Sprintf("late-%d", n)
		}
		wg.Go(func() {
			a := call(d, "POST", "/unsafe/work", keptKey, id)
			p.note("request %s, sent %.3f s after the acknowledgement: %d, error %v", id, at.Seconds(), a.Status, a.Err)
		})
		time.Sleep(100 * time.Millisecond)
	}
	leaving.kill() // over drainMs after the acknowledgement
	wg.Wait()
	leaving.mu.Lock()
	lines := append([]string(nil), leaving.lines...)
	leaving.mu.Unlock()
	for _, l := range lines {
		if strings.HasPrefix(l, "runs late-") {
			p.breaks("the draining runner %s, sent over drainMs after the acknowledgement", l)
		}
	}
}
