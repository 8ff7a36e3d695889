package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// playFrozen freezes a daemon while a runner is in the middle of an answer that ends with its
// connection. The runner crashes and is back under its ID before the daemon wakes. The rule is that a
// caller gets no success that lacks a part of the runner's body.
func playFrozen(p *play) {
	store := standin.NewStore()
	defer store.Close()
	r := p.newRunner("runner-1", "")
	born := time.Now().UnixMilli()
	store.Set("servers", r.id, r.entry("zone-a", "ready", born))
	store.Set("config", "main", config(13, []string{keptKey}, nil))
	d := p.newDaemon(0, "front-a-1", "zone-a", store.Address())
	defer d.keep()
	p.awaitReady(d)
	time.Sleep(4 * time.Second)
	for round := range 3 {
		for _, path := range []string{"/safe/slow", "/unsafe/slow"} {
			playAnswer(p, store, d, r, path, fmt.Sprintf("request-%d%s", round, map[string]string{"/safe/slow": "s", "/unsafe/slow": "u"}[path]))
		}
	}
}

// playAnswer plays one request.
func playAnswer(p *play, store *standin.Store, d *daemon, r *runner, path, id string) {
	early := os.Getenv("EARLY") != "" // the entry is written when the runner starts
	answer := make(chan sitetrial.Answer, 1)
	go func() { answer <- call(d, "POST", path, keptKey, id) }()
	r.await("half " + id)
	time.Sleep(50 * time.Millisecond)
	if p.trouble {
		d.signal(syscall.SIGSTOP)
		time.Sleep(200 * time.Millisecond)
		r.kill()
		time.Sleep(2 * time.Second)
		r.start()
		born := time.Now().UnixMilli()
		register := func() {
			store.Set("servers", r.id, r.entry("zone-a", "ready", born))
			p.note("runner %s: its entry is written, born %d", r.id, born)
		}
		if early {
			register()
		}
		time.Sleep(500 * time.Millisecond)
		d.signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
		if !early {
			register()
		}
	}
	a := <-answer
	whole := wholeBody(id)
	p.note("caller of %s gets %d, seal %q, %d of %d bytes, error %v", id, a.Status, a.Header.Get("Snowspoke-Server-Seal"), len(a.Body), len(whole), a.Err)
	if a.Err == nil && a.Status == 200 && a.Body != whole {
		p.breaks("%s is answered 200 with %d of the runner's %d bytes, and looks complete", id, len(a.Body), len(whole))
	}
	time.Sleep(4500 * time.Millisecond)
}
