package standins

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// Times of a drill, from the acknowledgement of the configuration that takes the key away.
const (
	drillRounds  = 3
	copiedBefore = 300 * time.Millisecond  // the copy is older than that configuration
	awayAt       = 4100 * time.Millisecond // the store is away
	killedAt     = 4700 * time.Millisecond // one daemon is killed
	backAt       = 5100 * time.Millisecond // the store is back, from the copy
	startedAt    = 5200 * time.Millisecond // the daemon is started again
	againAfter   = 2 * time.Second         // from backAt: the operator has written again
	revoke       = 5 * time.Second         // revokeMs
	keptKey      = "key-kept"
	takenKey     = "key-taken"
)

// playDrill plays the two cases of a drill one after the other.
func playDrill(p *play) {
	playStarted(p)
	playApart(p)
}

// playStarted takes a key away, and then the store comes back from an older copy while one daemon
// starts again. The rule is that no request with the key runs that was sent more than revokeMs after
// the acknowledgement.
func playStarted(p *play) {
	store := standin.NewStore()
	defer store.Close()
	runner := standin.NewServer("runner-1")
	defer runner.Kill()
	born := time.Now().UnixMilli()
	runner.SetBorn(born)
	store.Set("servers", runner.ID, wholeEntry(runner.Address(), "zone-a", "ready", born))
	version := 10
	write := func(second ...string) {
		version += 3
		store.Set("config", "main", config(version, []string{keptKey}, second))
		p.note("operator: version %d acknowledged, keys %v", version, append([]string{keptKey}, second...))
	}
	write(takenKey)
	all := []*daemon{
		p.newDaemon(0, "front-a-1", "zone-a", store.Address()), p.newDaemon(1, "front-b-1", "zone-b", store.Address()),
		p.newDaemon(2, "front-c-1", "zone-c", store.Address()),
	}
	p.awaitReady(all...)
	for _, d := range all {
		d.settings(false, store.Address())
		defer d.keep()
	}
	time.Sleep(4 * time.Second)
	sent := 0
	for round := range drillRounds {
		write(takenKey)
		time.Sleep(2200 * time.Millisecond)
		copied := store.Snapshot()
		time.Sleep(copiedBefore)
		write()
		taken := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(taken.Add(d))) }
		at(2100 * time.Millisecond)
		for _, d := range all {
			a := call(d, "GET", "/safe/x", takenKey, fmt.Sprintf("check-%d-%s", round, d.name))
			p.note("%s answers %d to the key that was taken away", d.name, a.Status)
			if a.Status != 401 {
				panic(notRun("the key is not refused"))
			}
		}
		restarted := all[round%len(all)]
		at(awayAt)
		if p.trouble {
			store.SetMode(standin.Silent)
			p.note("store: away")
			at(killedAt)
			restarted.kill()
			at(backAt)
			store.Restore(copied)
			store.SetMode(standin.Healthy)
			p.note("store: back from a copy of before version %d", version)
			at(startedAt)
			restarted.start()
		}
		at(startedAt)
		var wg sync.WaitGroup
		for time.Now().Before(taken.Add(backAt + againAfter)) {
			sent++
			id, at := fmt.Sprintf("taken-%d-%d", round, sent), time.Now()
			wg.Go(func() {
				a := call(restarted, "GET", "/safe/x", takenKey, id)
				p.note("request %s, sent %.3f s after the acknowledgement: %d, error %v", id, at.Sub(taken).Seconds(), a.Status, a.Err)
			})
			time.Sleep(100 * time.Millisecond)
		}
		if p.trouble {
			store.Set("config", "main", config(version, []string{keptKey}, nil))
			store.Set("servers", runner.ID, wholeEntry(runner.Address(), "zone-a", "ready", born))
			p.note("operator: version %d written again", version)
		}
		wg.Wait()
		for _, r := range runner.Runs() {
			if strings.HasPrefix(r.ID, fmt.Sprintf("taken-%d-", round)) {
				p.breaks("the runner ran %s for %s, sent with a key that was taken away over %s before", r.ID, r.Workspace, revoke)
			}
		}
		time.Sleep(time.Second)
	}
	a := call(all[0], "GET", "/safe/x", keptKey, "last")
	p.note("a request with the other key: %d, error %v", a.Status, a.Err)
	for _, r := range runner.Runs() {
		p.note("the runner ran %s for %s at %.3f", r.ID, r.Workspace, r.At.Sub(p.began).Seconds())
	}
	for _, d := range all {
		d.kill()
	}
}
