package standins

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// unreadable is an entry of another writer whose bytes end within its spec.
const unreadable = `{"metadata":{"name":"entry-1","revision":9,"createRev":9,"finalizers":[],"deleting":false},"spec":{"service":"pl`

// playUnread adds an entry of another writer that can't be read, and then a runner leaves in order. The
// rule is that no request reaches the runner later than drainMs after the store has acknowledged that it
// is draining. Afterwards the daemon starts again, which is noted and not judged.
func playUnread(p *play) {
	store := standin.NewStore()
	defer store.Close()
	register := func(r *runner, state string, born int64) {
		store.Set("servers", r.id, r.entry("zone-a", state, born))
		p.note("runner %s: its entry is written, %s", r.id, state)
	}
	staying, leaving := p.newRunner("runner-1", ""), p.newRunner("runner-2", "")
	born := time.Now().UnixMilli()
	register(staying, "ready", born)
	register(leaving, "ready", born)
	store.Set("config", "main", config(13, []string{keptKey}, nil))
	d := p.newDaemon(0, "front-a-1", "zone-a", store.Address())
	defer d.keep()
	p.awaitReady(d)
	d.settings(false, store.Address())
	time.Sleep(4 * time.Second)
	if p.trouble {
		store.SetForeign("servers", unreadable)
		p.note("another writer: entry %s", unreadable)
	}
	time.Sleep(time.Second)
	leaving.leave()
	register(leaving, "draining", born)
	acknowledged := time.Now()
	time.Sleep(sendAt)
	var wg sync.WaitGroup
	for n := range 8 {
		id, at := fmt.Sprintf("late-%d", n), time.Since(acknowledged)
		wg.Go(func() {
			a := call(d, "POST", "/unsafe/work", keptKey, id)
			p.note("request %s, sent %.3f s after the acknowledgement: %d, error %v", id, at.Seconds(), a.Status, a.Err)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(endsAt)))
	leaving.kill()
	store.Remove("servers", leaving.id)
	wg.Wait()
	leaving.mu.Lock()
	for _, l := range leaving.lines {
		if strings.HasPrefix(l, "runs late-") {
			p.breaks("the draining runner %s, sent over drainMs after the acknowledgement", l)
		}
	}
	leaving.mu.Unlock()
	d.kill()
	time.Sleep(300 * time.Millisecond)
	d.start()
	time.Sleep(13 * time.Second)
	served := 0
	for n := range 20 {
		if a := call(d, "GET", "/safe/x", keptKey, fmt.Sprint("after-", n)); a.Status == 200 && a.Err == nil {
			served++
		}
	}
	p.note("over recoverS after a restart the daemon is ready: %t; %d of 20 requests are served", d.isReady(), served)
}
