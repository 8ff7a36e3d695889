package standins

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// Numbers of the case.
const (
	uploadDaemons  = 6
	uploadClients  = 72
	uploadInterval = 50 * time.Millisecond // 63 MB a second in all, of a link with 125
	uploadBytes    = 4 << 20               // maxBodyBytes of the configuration, and of the deployments
	smallBytes     = 600
	smallEvery     = 4 // one client in four sends only small requests
	uploadWork     = 2500 * time.Millisecond
	memoryMB       = 284 // of the settings
	memoryInterval = 5 * time.Millisecond
)

// playUploads has each client send one small request and then another on the same connection, most
// of them one of the largest size that the configuration allows. The platform spreads the
// connections over all daemons or hands them to one.
func playUploads(w *world) error {
	for i := range 6 {
		s := standin.NewServer(fmt.Sprintf("plain-%d", i+1))
		s.PlainGap = uploadWork
		w.runners = append(w.runners, s)
		w.onClose(s.Kill)
		w.store.Set("servers", s.ID, s.Record(plainService, zoneOf(i), ""))
	}
	w.store.Set("config", "main", config([]map[string]any{
		plainRoute("card", "/card/", "unsafe", 1), plainRoute("ping", "/ping/", "safe", 2),
	}, []map[string]any{{"name": plainService, "maxConns": 110, "healthPath": standin.HealthPath}}))
	daemons, err := w.startDaemons(uploadDaemons)
	if err != nil {
		return err
	}
	stopWatch := w.watchMemory(daemons)
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	results, answered := map[string]int{}, map[int]bool{}
	for i := range uploadClients {
		d := daemons[i%len(daemons)]
		if w.trouble {
			d = daemons[0]
		}
		wg.Go(func() {
			result := w.upload(d, i)
			mu.Lock()
			defer mu.Unlock()
			results[result]++
			answered[i] = result == "answered"
		})
		time.Sleep(uploadInterval)
	}
	wg.Wait()
	stopWatch()
	w.noteRuns()
	ran := map[string]bool{}
	for _, s := range w.runners {
		for _, r := range s.Runs() {
			ran[r.ID] = true
		}
	}
	lost, smallLost := 0, 0
	for i := range uploadClients {
		if !ran[uploadID(i)] || answered[i] {
			continue
		}
		lost++
		if uploadSize(i) == smallBytes {
			smallLost++
		}
	}
	w.notef("results %v; %d requests were passed on to sound runners and not answered, %d of them small", results, lost, smallLost)
	if lost > 3 {
		return errBroken
	}
	if !w.trouble && results["answered"] < uploadClients {
		return fmt.Errorf("only %d were answered without the disruption", results["answered"])
	}
	return nil
}

// watchMemory ends daemons that use more than their memory, as the platform does.
func (w *world) watchMemory(daemons []*daemon) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(func() {
			most := 0
			defer func() { w.notef("%s used %d MB at most", d.name, most) }()
			for {
				select {
				case <-done:
					return
				case <-d.exited:
					return
				case <-time.After(memoryInterval):
				}
				most = max(most, residentMB(d.cmd.Process.Pid))
				if most > memoryMB {
					w.notef("%s uses %d MB of %d and is killed", d.name, most, memoryMB)
					d.signal(syscall.SIGKILL)
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(strings.SplitN(rest, "\n", 2)[0]), " kB"))
	return kb >> 10
}

// uploadSize returns the size of the second request of a client.
func uploadSize(i int) int {
	if i%smallEvery == 0 {
		return smallBytes
	}
	return uploadBytes
}

func uploadID(i int) string { return fmt.Sprintf("%08x%08x", i, 2) }

// upload makes both requests of a client and returns the result of the second.
func (w *world) upload(d *daemon, i int) string {
	c, err := net.Dial("tcp", d.front)
	if err != nil {
		return "not connected"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(streamDeadline))
	r := bufio.NewReader(c)
	short := fmt.Sprintf("%08x%08x", i, 1)
	w.notef("client %d sends %s, small, to %s", i, short, d.name)
	_, _ = io.WriteString(c, requestText(http.MethodGet, "/ping/1", short, ""))
	if _, err := readAnswer(r, http.MethodGet); err != nil {
		w.notef("client %d, small request: %v", i, err)
		return "small request failed"
	}
	w.notef("client %d, %s: answered", i, short)
	w.notef("client %d sends %s with %d bytes to %s", i, uploadID(i), uploadSize(i), d.name)
	_, _ = io.WriteString(c, requestText(http.MethodPost, "/card/1", uploadID(i), strings.Repeat("d", uploadSize(i))))
	if _, err = readAnswer(r, http.MethodPost); err != nil {
		w.notef("client %d, %s: %v", i, uploadID(i), err)
		if strings.HasPrefix(err.Error(), "status") {
			return err.Error()
		}
		return "connection closed"
	}
	w.notef("client %d, %s: answered", i, uploadID(i))
	return "answered"
}
