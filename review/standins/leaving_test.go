package standins

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case. The machine stands still for less than the bench's default of 5 s.
const (
	drainTime     = 2 * time.Second        // drainMs
	untilLeave    = 300 * time.Millisecond // after the machine has stopped
	serveLonger   = 600 * time.Millisecond // beyond drainMs
	frozenFor     = 4 * time.Second
	leaveInterval = 50 * time.Millisecond // between two requests
	leaveRequests = 120
	warmUp        = time.Second
)

// playLeaving has a runner leave without `draining`, as some do: its entry disappears, it serves
// for a little longer than drainMs, and ends. Just before, the machine that leads its zone stands
// still. The requests go to the other machine of that zone, which is in touch all the time.
func playLeaving(w *world) error {
	w.store.Set("config", "main", config([]map[string]any{plainRoute("card", "/card/", "unsafe", 1)},
		[]map[string]any{{"name": plainService, "maxConns": 110, "healthPath": healthPath}}))
	var runners []*plainRunner
	for i := range 3 {
		r, err := w.startRunner(fmt.Sprintf("runner-%d", i+1), zoneOf(i), withLength)
		if err != nil {
			return err
		}
		runners = append(runners, r)
	}
	daemons, err := w.startDaemons(6) // two in each zone
	if err != nil {
		return err
	}
	time.Sleep(warmUp)
	first, second, leaving := daemons[0], daemons[3], runners[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]bool{}
	wg.Go(func() {
		for i := range leaveRequests {
			wg.Go(func() {
				id := fmt.Sprintf("%016x", i+1)
				w.notef("client sends %s to %s", id, second.name)
				err := w.callOnce(second, id)
				if err == nil {
					w.notef("client of %s: answered", id)
					return
				}
				w.notef("client of %s: %v", id, err)
				mu.Lock()
				defer mu.Unlock()
				failed[id] = true
			})
			time.Sleep(leaveInterval)
		}
	})
	time.Sleep(warmUp)
	if w.trouble {
		w.notef("SIGSTOP to %s", first.name)
		first.signal(syscall.SIGSTOP)
	}
	time.Sleep(untilLeave)
	w.store.Remove("servers", leaving.id)
	left := time.Now()
	w.notef("the entry of %s has disappeared", leaving.id)
	time.Sleep(drainTime + serveLonger)
	w.notef("%s ends", leaving.id)
	leaving.proxy.close()
	leaving.kill()
	if w.trouble {
		time.Sleep(frozenFor - untilLeave - drainTime - serveLonger)
		w.notef("SIGCONT to %s", first.name)
		first.signal(syscall.SIGCONT)
	}
	wg.Wait()
	late, lost := 0, 0
	for id, at := range leaving.ranAt() {
		if after := at.Sub(left); after > drainTime {
			late++
			w.notef("%s reached %s %d ms after that had left, answered=%t", id, leaving.id, after.Milliseconds(), !failed[id])
		}
		if failed[id] {
			lost++
		}
	}
	w.notef("%d requests reached %s later than drainMs, %d of its unsafe requests got no answer of it", late, leaving.id, lost)
	if late > 0 {
		return errBroken
	}
	if !w.trouble && len(failed) > 0 {
		return fmt.Errorf("%d requests were not served without the disruption", len(failed))
	}
	return nil
}

// callOnce makes one unsafe request and returns an error unless it got a whole success.
func (w *world) callOnce(d *daemon, id string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.front+"/card/1", strings.NewReader("a card"))
	if err != nil {
		return err
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Snowspoke-Request-Id", id)
	req.Header.Set("Snowspoke-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(data) != wholeBody(id)) {
		return fmt.Errorf("status %d, %d bytes", resp.StatusCode, len(data))
	}
	return err
}
