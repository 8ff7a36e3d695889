package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// promptHeader lists the parts of a prompt.
const promptHeader = "Snowspoke-Prompt-Prefix"

// crashingPart is the part of a prompt that crashes the backend servers that begin to answer it.
const crashingPart = "5c1e07a2"

// recordLifetime is the time for which the record of a crashed backend server stays.
const recordLifetime = 300 * time.Millisecond

// Requests of which no two are alike stop reaching backend servers once the part that they share
// has crashed some, and sound requests with their other part are served meanwhile.
func TestCrashingPromptPartIsQuarantined(t *testing.T) {
	testPartQuarantine(t, 29, func(*standin.Server) {})
}

// An answer that ends with its connection looks complete when its backend server crashes.
func TestPartThatCrashesUndelimitedAnswersIsQuarantined(t *testing.T) {
	testPartQuarantine(t, 29, func(h *standin.Server) { h.SetFraming(framing.UntilClose) })
}

// A backend server that starts again at once accepts connections.
func TestPartThatRestartsServersIsQuarantined(t *testing.T) {
	testPartQuarantine(t, 29, func(h *standin.Server) { h.Restarts = true })
}

// testPartQuarantine sends 30 crashing and 30 sound requests, of which minServed must be served,
// and all that are sent after the last crash is known.
func testPartQuarantine(t *testing.T, minServed int, change func(head *standin.Server)) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(24, 2)
	for _, h := range heads {
		h.CrashOnPart(crashingPart)
		h.OnCrash = func() { time.AfterFunc(recordLifetime, func() { env.store.Remove("servers", h.ID) }) }
		change(h)
	}
	daemons := make([]*testDaemon, 3)
	for i := range daemons {
		daemons[i] = env.daemon(fmt.Sprint("daemon-", i+1), nil).ready(t, 26)
	}
	awaitFollowing(t, daemons[0], daemons[2])

	var wg sync.WaitGroup
	var mu sync.Mutex
	var sound, lost []time.Time // sends of sound requests that were served, and of others
	for n := range 30 {
		wg.Go(func() {
			daemons[n%3].call(t, promptCall("crashing", n, "a1:40,"+crashingPart+":40"))
		})
		wg.Go(func() {
			sent := time.Now()
			a := daemons[(n+1)%3].call(t, promptCall("sound", n, "a1:40,b2:40"))
			mu.Lock()
			defer mu.Unlock()
			if a.Status == http.StatusOK && a.Err == nil {
				sound = append(sound, sent)
			} else {
				t.Logf("sound request %d: status %d, %v, %q", n, a.Status, a.Err, a.Body)
				lost = append(lost, sent)
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	crashes := runsWhere(heads, hasPart(crashingPart))
	require.GreaterOrEqual(t, len(crashes), 2, "one crash is no evidence")
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[min(5, len(crashes))-1]) > reportDelay {
			late++
		}
	}
	t.Logf("%d backend servers crashed, %d late, %d of 30 sound requests served", len(crashes), late, len(sound))
	assert.LessOrEqual(t, late, maxLateArrivals)
	assert.GreaterOrEqual(t, len(sound), minServed, "sound requests served, of 30")
	for _, at := range lost {
		assert.Less(t, at.Sub(crashes[len(crashes)-1]), reportDelay, "sound request lost after the last crash")
	}
}

// promptCall returns a stream request with shared parts and a last part of its own.
func promptCall(kind string, n int, parts string) call {
	id := fmt.Sprintf("%s-%d", kind, n)
	return call{
		method: "POST", path: "/stream/", body: "body of " + id, id: id,
		header: map[string]string{promptHeader: fmt.Sprintf("%s,%x:100", parts, 0xf000+n)},
	}
}

// hasPart reports whether a run is of a request with a part of the prompt.
func hasPart(part string) func(standin.Run) bool {
	return func(r standin.Run) bool { return strings.Contains(r.Header.Get(promptHeader), part) }
}
