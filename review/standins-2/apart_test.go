package standins

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// Times of a daemon that is cut off, from the acknowledgement of the configuration that takes the key
// away.
const (
	apartRounds = 3
	cutBefore   = 300 * time.Millisecond  // one daemon is cut off from the store
	healedAt    = 5200 * time.Millisecond // the cut ends
)

// playApart takes a key away while one daemon is cut off from the store, and then the store comes back
// from an older copy. The rule is that of playStarted. No process ends.
func playApart(p *play) {
	store := standin.NewStore()
	defer store.Close()
	runner := standin.NewServer("runner-1")
	defer runner.Kill()
	born := time.Now().UnixMilli()
	runner.SetBorn(born)
	enter := func() { store.Set("servers", runner.ID, wholeEntry(runner.Address(), "zone-a", "ready", born)) }
	enter()
	version := 10
	write := func(second ...string) {
		version += 3
		store.Set("config", "main", config(version, []string{keptKey}, second))
		p.note("operator: version %d acknowledged, keys %v", version, append([]string{keptKey}, second...))
	}
	write(takenKey)
	path, err := standin.NewProxy(store.Address())
	p.check(err)
	defer path.Close()
	all := []*daemon{
		p.newDaemon(3, "front-a-2", "zone-a", path.Address()), p.newDaemon(4, "front-b-2", "zone-b", store.Address()),
		p.newDaemon(5, "front-c-2", "zone-c", store.Address()),
	}
	apart := all[0]
	p.awaitReady(all...)
	for _, d := range all {
		defer d.keep()
	}
	time.Sleep(4 * time.Second)
	sent := 0
	for round := range apartRounds {
		write(takenKey)
		time.Sleep(2200 * time.Millisecond)
		copied := store.Snapshot()
		time.Sleep(copiedBefore - cutBefore)
		if p.trouble {
			path.Set(standin.Silence)
			p.note("%s: cut off from the store", apart.name)
		}
		time.Sleep(cutBefore)
		write()
		taken := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(taken.Add(d))) }
		at(2100 * time.Millisecond)
		for _, d := range all[1:] {
			if a := call(d, "GET", "/safe/x", takenKey, fmt.Sprintf("check-%d-%s", round, d.name)); a.Status != 401 {
				panic(notRun("the key is not refused"))
			}
		}
		if p.trouble {
			at(awayAt)
			store.SetMode(standin.Refusing)
			p.note("store: away")
			at(backAt)
			store.Restore(copied)
			store.SetMode(standin.Healthy)
			p.note("store: back from a copy of before version %d", version)
			at(healedAt)
			path.Set(standin.Pass)
			p.note("%s: reaches the store again", apart.name)
		}
		at(healedAt)
		var wg sync.WaitGroup
		for time.Now().Before(taken.Add(backAt + againAfter)) {
			sent++
			id, at := fmt.Sprintf("apart-%d-%d", round, sent), time.Now()
			wg.Go(func() {
				a := call(apart, "GET", "/safe/x", takenKey, id)
				p.note("request %s, sent %.3f s after the acknowledgement: %d, error %v", id, at.Sub(taken).Seconds(), a.Status, a.Err)
			})
			time.Sleep(100 * time.Millisecond)
		}
		if p.trouble {
			store.Set("config", "main", config(version, []string{keptKey}, nil))
			enter()
			p.note("operator: version %d written again", version)
		}
		wg.Wait()
		for _, r := range runner.Runs() {
			if strings.HasPrefix(r.ID, fmt.Sprintf("apart-%d-", round)) {
				p.breaks("the runner ran %s for %s, sent with a key that was taken away over %s before", r.ID, r.Workspace, revoke)
			}
		}
		time.Sleep(time.Second)
	}
	a := call(apart, "GET", "/safe/x", keptKey, "last")
	p.note("a request with the other key: %d, error %v", a.Status, a.Err)
	for _, r := range runner.Runs() {
		p.note("the runner ran %s for %s at %.3f", r.ID, r.Workspace, r.At.Sub(p.began).Seconds())
	}
}
