package standins

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// Streams are as long as the usual ones of the deployments: 86 events, 4.3 s.
const (
	streamEvents   = 86
	streamGap      = 50 * time.Millisecond
	untilStop      = 800 * time.Millisecond
	connsPerDaemon = 4 // of each kind
	streamDeadline = 20 * time.Second
)

// playPipelined has clients send two idempotent requests at once on a kept connection, a short one
// and a stream, and others that send the second one after the first answer. While the streams run,
// one daemon of three is stopped as planned.
func playPipelined(w *world) error {
	w.startEngines()
	stream := plainRoute("draft", "/stream/", "stream", 2)
	stream["service"], stream["resumable"], stream["timeoutMs"], stream["gapAimMs"] = engineService, true, streamDeadline.Milliseconds(), 200
	w.store.Set("config", "main", config([]map[string]any{stream, plainRoute("ping", "/ping/", "safe", 2)}, []map[string]any{
		{"name": plainService, "maxConns": 110, "healthPath": standin.HealthPath},
		{"name": engineService, "maxConns": 1138, "healthPath": standin.HealthPath, "engine": sitetrial.Engine()},
	}))
	daemons, err := w.startDaemons(3)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, cut := map[bool]int{}, map[bool]int{}
	for i := range 2 * connsPerDaemon * len(daemons) {
		pipelined := i%2 == 0
		wg.Go(func() {
			ok := w.twoRequests(daemons[i/2%len(daemons)], i, pipelined)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				whole[pipelined]++
			} else {
				cut[pipelined]++
			}
		})
	}
	time.Sleep(untilStop)
	if w.trouble {
		w.notef("SIGTERM to %s", daemons[0].name)
		daemons[0].signal(syscall.SIGTERM)
	}
	wg.Wait()
	w.noteRuns()
	w.notef("streams: %d whole and %d cut off behind another request, %d whole and %d cut off after its answer",
		whole[true], cut[true], whole[false], cut[false])
	if cut[true]+cut[false] > 0 {
		return errBroken
	}
	return nil
}

const engineService = "drafts"

// startEngines starts stand-ins of plain runners and of a pipeline in each zone.
func (w *world) startEngines() {
	for i := range 3 {
		zone := zoneOf(i)
		plain := standin.NewServer("plain-" + zone)
		head, tail := standin.NewServer("head-"+zone), standin.NewServer("tail-"+zone)
		head.Hold(0, 2)
		tail.Hold(2, 4)
		for _, s := range []*standin.Server{head, tail} {
			s.Events, s.EventGap = streamEvents, streamGap
			w.store.Set("servers", s.ID, s.Record(engineService, zone, "card"))
		}
		w.store.Set("servers", plain.ID, plain.Record(plainService, zone, ""))
		for _, s := range []*standin.Server{plain, head, tail} {
			w.runners = append(w.runners, s)
			w.onClose(s.Kill)
		}
	}
}

// noteRuns records what the runners ran.
func (w *world) noteRuns() {
	for _, s := range w.runners {
		for _, r := range s.Runs() {
			w.notef("%s ran %s after event %d, at %s", s.ID, r.ID, r.LastEvent, r.At.Sub(w.began).Round(time.Millisecond))
		}
	}
}

// twoRequests sends a short request and a stream on one connection and reports whether both got
// whole answers.
func (w *world) twoRequests(d *daemon, i int, pipelined bool) bool {
	c, err := net.Dial("tcp", d.front)
	if err != nil {
		w.notef("client %d: %v", i, err)
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(streamDeadline))
	short, long := fmt.Sprintf("%08x%08x", i, 1), fmt.Sprintf("%08x%08x", i, 2)
	first, second := requestText("GET", "/ping/1", short, ""), requestText("POST", "/stream/1", long, strings.Repeat("p", 800))
	r := bufio.NewReader(c)
	w.notef("client %d sends %s and %s to %s, pipelined=%t", i, short, long, d.name, pipelined)
	if pipelined {
		_, _ = io.WriteString(c, first+second) // an error shows when the answers are read
	} else {
		_, _ = io.WriteString(c, first)
	}
	if _, err := readAnswer(r, "GET"); err != nil {
		w.notef("client %d, %s: %v", i, short, err)
		return false
	}
	if !pipelined {
		_, _ = io.WriteString(c, second)
	}
	body, err := readAnswer(r, "POST")
	events := strings.Count(body, "\n\n")
	w.notef("client %d, %s: %d of %d events, err %v", i, long, events, streamEvents, err)
	return err == nil && events == streamEvents
}

func requestText(method, path, id, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nSnowspoke-Request-Id: %s\r\nSnowspoke-Deadline-Ms: %d\r\n",
		method, path, host, apiKey, id, streamDeadline.Milliseconds())
	if method == http.MethodPost {
		text += fmt.Sprintf("Snowspoke-Model: m\r\nSnowspoke-Token-Counts: 10,100\r\nContent-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// readAnswer reads a whole successful answer.
func readAnswer(r *bufio.Reader, method string) (body string, err error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return string(data), err
}
