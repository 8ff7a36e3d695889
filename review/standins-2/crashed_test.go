package standins

import (
	"fmt"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

const (
	crashedRounds  = 5
	crashedRunners = 3
	downFor        = 4 * time.Second
)

// playCrashed crashes all runners of a service while they are in the middle of answers that end with
// their connections. The rule is that a caller gets no success that lacks a part of the runner's body.
func playCrashed(p *play) {
	store := standin.NewStore()
	defer store.Close()
	var runners []*runner
	register := func(r *runner) { store.Set("servers", r.id, r.entry("zone-a", "ready", time.Now().UnixMilli())) }
	for n := range crashedRunners {
		r := p.newRunner(fmt.Sprintf("runner-%d", n+1), "")
		runners = append(runners, r)
		register(r)
	}
	store.Set("config", "main", config(13, []string{keptKey}, nil))
	d := p.newDaemon(0, "front-a-1", "zone-a", store.Address())
	defer d.keep()
	p.awaitReady(d, p.newDaemon(1, "front-b-1", "zone-b", store.Address()), p.newDaemon(2, "front-c-1", "zone-c", store.Address()))
	time.Sleep(4 * time.Second)
	for round := range crashedRounds {
		var wg sync.WaitGroup
		for n := range 2 * crashedRunners {
			id := fmt.Sprintf("request-%d-%d", round, n)
			wg.Go(func() {
				a, whole := call(d, "POST", "/unsafe/slow", keptKey, id), wholeBody(id)
				p.note("caller of %s gets %d, seal %q, %d of %d bytes, error %v", id, a.Status, a.Header.Get("Snowspoke-Server-Seal"), len(a.Body), len(whole), a.Err)
				if a.Err == nil && a.Status == 200 && a.Body != whole {
					p.breaks("%s is answered 200 with %d of the runner's %d bytes, and looks complete", id, len(a.Body), len(whole))
				}
			})
		}
		time.Sleep(400 * time.Millisecond)
		if p.trouble {
			for _, r := range runners {
				r.kill()
			}
			time.Sleep(downFor)
			for _, r := range runners {
				r.start()
				register(r)
			}
		}
		wg.Wait()
		time.Sleep(6 * time.Second)
	}
}
