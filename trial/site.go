package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/gateway"
	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// Sizes of one run.
const (
	onceRequests     = 300
	onceParallel     = 16
	onceDaemons      = 3
	onceEvents       = 30
	siteReadyTimeout = 10 * time.Second
)

// RunOnSite runs a stand-in site of the platform and daemons in this process. It
// sends mixed requests while a head is killed, answers fail, the store is
// unavailable and a daemon is stopped gracefully. Each event is passed to progress.
// It returns the counters of the run and the guarantees that were violated.
func RunOnSite(ctx context.Context, logs io.Writer, progress func(string)) (summary string, problems []string, err error) {
	s := sitetrial.New([]string{"a", "b"}, 2, 2, 2)
	defer s.Close()
	for _, srv := range s.Servers() {
		srv.Events, srv.EventGap = onceEvents, 5*time.Millisecond
	}
	daemons, err := startDaemons(s, logs)
	defer func() {
		for _, d := range daemons {
			d.Kill()
		}
	}()
	if err != nil {
		return "", nil, err
	}
	callers := sitetrial.NewCallers(s, onceEvents)
	runOnce(ctx, s, daemons, callers, progress)
	sent, served, refused := callers.Counts()
	return fmt.Sprintf("requests=%d served=%d refused=%d", sent, served, refused), callers.Verify(), nil
}

type siteDaemon struct {
	*gateway.Gateway
	stop context.CancelFunc
}

func startDaemons(s *sitetrial.Site, logs io.Writer) (all []siteDaemon, err error) {
	for i := range onceDaemons {
		set := site.Settings{
			Name: fmt.Sprintf("daemon-%d", i), IP: "127.0.0.1", FailureDomain: []string{"a", "b"}[i%2], Callers: "127.0.0.1:0",
			Readiness: "127.0.0.1:0", Store: s.Store.Address(), Grace: 8 * time.Second, FailClosed: true, MaxRevocationDelay: 5 * time.Second,
			RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		}
		g, err := gateway.New(gateway.Options{Load: func() (site.Settings, error) { return set, nil }}, logs)
		if err != nil {
			return all, err
		}
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = g.Run(ctx) }() // failures show in the answers to callers
		all = append(all, siteDaemon{g, stop})
	}
	for _, d := range all {
		if err := awaitReady(d); err != nil {
			return all, err
		}
	}
	return all, nil
}

func awaitReady(d siteDaemon) error {
	for until := time.Now().Add(siteReadyTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + d.ReadinessAddr() + "/ready")
		if err != nil {
			continue // not listening yet
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon at %s is not ready after %s", d.ReadinessAddr(), siteReadyTimeout)
}

// runOnce sends the requests and injects each fault before a fixed request.
func runOnce(ctx context.Context, s *sitetrial.Site, daemons []siteDaemon, callers *sitetrial.Callers, progress func(string)) {
	events := map[int]func(){
		60: func() {
			progress("a head of a pipeline is killed")
			for _, srv := range s.Servers() {
				if srv.ID == "a-card-0" {
					srv.Kill()
					s.Remove(srv)
				}
			}
		},
		100: func() {
			progress("a backend server breaks answers off")
			for _, srv := range s.Servers() {
				if srv.ID == "b-plain-0" {
					srv.AddFaults(standin.BreakOff, standin.ResetAfter, standin.Surplus)
				}
			}
		},
		140: func() { progress("the store is away"); s.Store.SetMode(standin.Refusing) },
		200: func() { progress("the store is back"); s.Store.SetMode(standin.Healthy) },
		220: func() { progress("a daemon is stopped as planned"); daemons[2].stop() },
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: onceParallel}}
	slots := make(chan struct{}, onceParallel)
	var wg sync.WaitGroup
	for i := range onceRequests {
		if event := events[i]; event != nil {
			event()
		}
		address := daemons[i%len(daemons)].CallersAddr()
		r := rand.New(rand.NewPCG(uint64(i), 1))
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_ = callers.Send(ctx, client, address, r) // callers note the answer
		})
	}
	wg.Wait()
}
