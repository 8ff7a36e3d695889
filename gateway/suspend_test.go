package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// A VM that was suspended for longer than keys may be used unproven refuses them at its
// first breath: by the steady clock the configuration was read a moment ago. Tests of
// suspensions do not run beside others, whose clock it is too.
func TestKeysFailClosedAfterASuspension(t *testing.T) {
	w := newWorld(t)
	w.putConfig()
	w.servers("plain", "", "plain-1")
	p, err := standin.NewProxy(w.store.Address())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	d := w.daemon("daemon-1", func(s *site.Settings) { s.Store = p.Address() }).ready(t, 1)
	require.Equal(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	p.Set(standin.Silence)
	boottime.Pretend(6 * time.Second)
	a := d.call(t, call{method: "GET", path: "/plain/", id: "woken"})
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	require.Equal(t, string(apierror.ConfigUnavailable)+"\n", a.Body)
	p.Set(standin.Pass)
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/", id: "again"}).Status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
}

// A request whose deadline has passed while the VM was suspended ends when it wakes, and
// its backend server's work with it; the duty is not held any more.
func TestDeadlinesPassAndDutiesEndInASuspension(t *testing.T) {
	w := newWorld(t)
	w.putConfig()
	heads, _ := w.pipeline(1, 1)
	heads[0].Events, heads[0].EveryGap = 400, 20*time.Millisecond
	d := w.daemon("daemon-1", nil).ready(t, 2)
	require.Eventually(t, func() bool {
		_, held := d.keeper.Held()
		return held
	}, 5*time.Second, 10*time.Millisecond)
	began := time.Now()
	answers := make(chan answer, 1)
	go func() { answers <- d.call(t, call{method: "POST", path: "/stream/"}) }()
	require.Eventually(t, func() bool { return len(heads[0].Runs()) == 1 }, 2*time.Second, 5*time.Millisecond)
	boottime.Pretend(6 * time.Second) // its caller waits for 5 s
	_, held := d.keeper.Held()
	require.False(t, held, "others may hold the duty by now")
	a := <-answers
	require.Error(t, a.Err, "an answer that is not whole does not look complete")
	require.Less(t, time.Since(began), 3*time.Second)
}

// A daemon whose VM was suspended looks at once who else is there: whom it follows, and its
// parts of what the fleet shares, go by that.
func TestDaemonsAreListedAfterASuspension(t *testing.T) {
	w := newWorld(t)
	w.putConfig()
	w.servers("plain", "", "plain-1")
	first := w.daemon("daemon-1", nil).ready(t, 1)
	second := w.daemon("daemon-2", nil).ready(t, 1)
	require.Equal(t, 2, second.members.Daemons())
	require.Equal(t, 1, first.members.Daemons(), "its next list comes later")
	boottime.Pretend(6 * time.Second)
	require.Eventually(t, func() bool { return first.members.Daemons() == 2 }, time.Second, 10*time.Millisecond)
}
