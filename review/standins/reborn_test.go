package standins

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case. The cut is no longer than the bench's default of 5 s.
const (
	untilCut      = 230 * time.Millisecond // answers are under way
	untilCrash    = 100 * time.Millisecond // after the cut
	untilRestart  = 2 * time.Second        // after the crash
	untilHealed   = 1500 * time.Millisecond
	rebornCalls   = 60
	rebornRunners = 10
	callTimeout   = 10 * time.Second
)

// playReborn cuts one runner of ten off from all machines while it writes answers. Behind the
// cut it crashes and starts again under its ID; the machines learn of that from the store. Then
// the cut heals.
func playReborn(w *world) error {
	w.store.Set("config", "main", config([]map[string]any{
		plainRoute("card", "/card/", "unsafe", 1), plainRoute("ping", "/ping/", "safe", 2),
	}, []map[string]any{{"name": plainService, "maxConns": 110, "healthPath": healthPath}}))
	var runners []*plainRunner
	for i := range rebornRunners {
		r, err := w.startRunner(fmt.Sprintf("runner-%d", i+1), zoneOf(i))
		if err != nil {
			return err
		}
		runners = append(runners, r)
	}
	daemons, err := w.startDaemons(3)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	truncated, served := 0, 0
	for i := range rebornCalls {
		wg.Go(func() {
			whole, ok := w.callPlain(daemons[i%len(daemons)], i)
			mu.Lock()
			defer mu.Unlock()
			if ok && whole {
				served++
			}
			if ok && !whole {
				truncated++
			}
		})
	}
	time.Sleep(untilCut)
	if w.trouble {
		if err := w.rebear(runners[0]); err != nil {
			return err
		}
	}
	wg.Wait()
	w.notef("%d of %d requests got a whole answer, %d a success with a part of its body", served, rebornCalls, truncated)
	if truncated > 0 {
		return errBroken
	}
	if !w.trouble && served < rebornCalls {
		return fmt.Errorf("only %d requests were served without the disruption", served)
	}
	return nil
}

// rebear plays the disruption.
func (w *world) rebear(r *plainRunner) error {
	w.notef("%s is cut off from all machines", r.id)
	r.proxy.cut()
	time.Sleep(untilCrash)
	w.notef("%s is killed behind the cut", r.id)
	r.kill()
	time.Sleep(untilRestart)
	if err := r.start(); err != nil {
		return err
	}
	w.notef("%s has started again, its record has the new start", r.id)
	time.Sleep(untilHealed)
	w.notef("the cut has healed")
	r.proxy.heal()
	return nil
}

func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": callTimeout.Milliseconds(), "targetLatencyMs": 500,
		"maxAttempts": attempts, "service": plainService, "priority": 2,
	}
}

// callPlain makes one request, two thirds of them unsafe. ok is set for a success, and whole if
// its body is the runner's whole body.
func (w *world) callPlain(d *daemon, i int) (whole, ok bool) {
	id := fmt.Sprintf("%016x", i+1)
	method, path, body := http.MethodPost, "/card/1", "a card"
	if i%3 == 0 {
		method, path, body = http.MethodGet, "/ping/1", ""
	}
	req, err := http.NewRequest(method, "http://"+d.front+path, strings.NewReader(body))
	if err != nil {
		return false, false
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Snowspoke-Request-Id", id)
	req.Header.Set("Snowspoke-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	w.notef("client sends %s %s %s to %s", id, method, path, d.name)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.notef("client of %s: %v", id, err)
		return false, false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	whole = err == nil && string(data) == wholeBody(id)
	w.notef("client of %s got %d, seal %q, %d of %d bytes, Content-Length %q, err %v", id, resp.StatusCode,
		resp.Header.Get("Snowspoke-Server-Seal"), len(data), answerPieces*pieceBytes, resp.Header.Get("Content-Length"), err)
	return whole, err == nil && resp.StatusCode == http.StatusOK
}
