package detour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/network"
)

// link is a daemon's network to backend servers. It implements Connector.
type link struct {
	mu      sync.Mutex
	refuse  bool
	silent  bool
	dialed  int
	changed chan struct{}
	// writeBuffer is the size of the write buffer of a connection, 0 for the default.
	writeBuffer int
}

func newLink() *link { return &link{changed: make(chan struct{})} }

// cut cuts the link, by refused connections or by silence.
func (l *link) cut(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse, l.silent = !silent, silent
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse, l.silent = false, false
}

func (l *link) dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialed
}

func (l *link) connect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	l.mu.Lock()
	refuse, silent := l.refuse, l.silent
	l.dialed++
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if refuse {
		return nil, syscall.ECONNREFUSED
	}
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil && l.writeBuffer > 0 {
		err = c.(*net.TCPConn).SetWriteBuffer(l.writeBuffer)
	}
	return c, err
}

func (l *link) Connect(ctx context.Context, address string) (net.Conn, error) {
	return l.connect(ctx, address, 400*time.Millisecond)
}

func (l *link) Probe(ctx context.Context, address string) (net.Conn, error) {
	return l.connect(ctx, address, 60*time.Millisecond)
}

// testDaemon is a daemon that connects to backend servers and carries connections.
type testDaemon struct {
	*Dialer
	link    *link
	paths   *Paths
	carrier *Server
	http    *http.Server
	self    Carrier
}

// observer ignores all events.
type observer struct{}

func (observer) WayChanged(string, Way, Way, string, error) {}
func (observer) Ways(map[Way]int)                           {}
func (observer) Carrying(int)                               {}
func (observer) CarryRefused(string, int, error)            {}

// testFleet is a fleet of daemons on loopback. All addresses are backend servers unless
// unknown is set.
type testFleet struct {
	daemons []*testDaemon
	unknown atomic.Bool
}

func newTestFleet(t *testing.T, size, maxConnections int) *testFleet {
	t.Helper()
	f := &testFleet{}
	exists := func(string) bool { return !f.unknown.Load() }
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		d := &testDaemon{link: newLink(), paths: NewPaths("a"), self: Carrier{Name: fmt.Sprintf("d-%d", i), Domain: "a", Address: l.Addr().String()}}
		d.carrier = NewServer(ServerOptions{Direct: d.link, Paths: d.paths, Exists: exists, MaxConnections: maxConnections, Observer: observer{}})
		d.Dialer = NewDialer(Options{
			Timing: RegionTiming, Direct: d.link, Paths: d.paths, Carriers: func() []Carrier { return f.others(d) }, Exists: exists, Observer: observer{},
			DialCarrier: new(net.Dialer).DialContext,
		})
		d.http = &http.Server{Handler: d.carrier}
		f.daemons = append(f.daemons, d)
		go func() { _ = d.http.Serve(l) }()
		go d.Run(t.Context())
		t.Cleanup(func() {
			_ = d.http.Close()
			d.carrier.Close()
		})
	}
	return f
}

func (f *testFleet) others(d *testDaemon) []Carrier {
	var out []Carrier
	for _, o := range f.daemons {
		if o != d {
			out = append(out, o.self)
		}
	}
	return out
}

// backend is a backend server. serve is called with each connection.
func backend(t *testing.T, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// closedAddress refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// echo answers the first message and closes the connection in order.
func echo(c *net.TCPConn) {
	buf := make([]byte, 64)
	n, _ := c.Read(buf)
	_, _ = c.Write(buf[:n])
	_ = c.Close()
}

// exchange sends a message over a connection and reads to its end.
func exchange(t *testing.T, c net.Conn, message string) (string, error) {
	t.Helper()
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err := io.WriteString(c, message)
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	return string(answer), err
}

func TestCutOffDaemonConnectsThroughAnother(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 3, 10)
			address := backend(t, echo)
			d := f.daemons[0]
			d.link.cut(silent)
			f.daemons[1].link.cut(silent)
			for i := range 3 {
				began := time.Now()
				c, err := d.Connect(t.Context(), address)
				require.NoError(t, err)
				require.Less(t, time.Since(began), 350*time.Millisecond)
				require.Equal(t, "d-2", c.(*carriedConn).Carrier())
				answer, err := exchange(t, c, fmt.Sprint("message ", i))
				require.NoError(t, err)
				require.Equal(t, fmt.Sprint("message ", i), answer)
			}
			require.Equal(t, Carried, d.paths.Way(address))
			d.link.heal()
			require.Eventually(t, func() bool { return d.paths.Way(address) == Direct }, time.Second, 5*time.Millisecond)
		})
	}
}

// An ended backend server must not look alive, nor one that no daemon reaches dead for ever.
func TestAddressThatNobodyReachesFails(t *testing.T) {
	f := newTestFleet(t, 3, 10)
	d := f.daemons[0]
	_, err := d.Connect(t.Context(), closedAddress(t))
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NotErrorIs(t, err, ErrIsolated)

	address := backend(t, echo)
	for _, o := range f.daemons {
		o.link.cut(true)
	}
	_, err = d.Probe(t.Context(), address)
	require.Error(t, err)
	require.Equal(t, Unreachable, d.paths.Way(address))
	f.daemons[2].link.heal()
	require.Eventually(t, func() bool { return d.paths.Way(address) == Carried }, 3*time.Second, 5*time.Millisecond)
}

// A daemon that reaches nothing does not say of any backend server that it has ended.
func TestIsolatedDaemonAccusesNoBackendServer(t *testing.T) {
	f := newTestFleet(t, 1, 10)
	d := f.daemons[0]
	d.link.cut(false)
	var err error
	for range minIsolating {
		_, err = d.Connect(t.Context(), backend(t, echo))
	}
	require.ErrorIs(t, err, ErrIsolated)
}

// Once one address is reached again, the others are as well within a second.
func TestAllAddressesAreRestoredTogether(t *testing.T) {
	f := newTestFleet(t, 2, 100)
	d := f.daemons[0]
	var addresses []string
	for range 40 {
		addresses = append(addresses, backend(t, echo))
	}
	d.link.cut(false)
	for _, a := range addresses {
		_, err := d.Connect(t.Context(), a)
		require.NoError(t, err)
	}
	before := d.link.dials()
	time.Sleep(time.Second)
	require.LessOrEqual(t, d.link.dials()-before, int(time.Second/minCheckInterval)+1, "one check at a time")
	d.link.heal()
	require.Eventually(t, func() bool { return len(d.paths.Detours()) == 0 }, time.Second, 5*time.Millisecond)
}

// A connection is carried once: not over a daemon that needs another one itself, not to an
// address that is no backend server's, not beyond the limit, and not over a daemon that stops.
func TestCarrierRefuses(t *testing.T) {
	f := newTestFleet(t, 2, 1)
	address := backend(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	carrier := f.daemons[1]
	f.daemons[0].link.cut(false)
	conn, err := f.daemons[0].Connect(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, statusUnavailable, statusOf(t, upgradeRequest(t, carrier, address)), "the limit is reached")
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return carrier.carrier.Carried() == 0 }, time.Second, time.Millisecond)

	carrier.paths.Carry(address, "d-9", time.Now())
	require.Equal(t, statusNotDirect, statusOf(t, upgradeRequest(t, carrier, address)))
	carrier.paths.Reached(address, time.Now())

	plain := upgradeRequest(t, carrier, address)
	plain.Header.Del("Upgrade")
	require.Equal(t, statusUnknown, statusOf(t, plain), "no upgrade requested")
	require.Equal(t, statusRefused, statusOf(t, upgradeRequest(t, carrier, closedAddress(t))))
	carrier.link.cut(true)
	require.Equal(t, statusNoAnswer, statusOf(t, upgradeRequest(t, carrier, address)))
	carrier.carrier.Stop()
	require.Equal(t, statusUnavailable, statusOf(t, upgradeRequest(t, carrier, address)), "the carrier is stopping")
	f.unknown.Store(true)
	require.Equal(t, statusUnknown, statusOf(t, upgradeRequest(t, carrier, address)))
}

func upgradeRequest(t *testing.T, carrier *testDaemon, address string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+carrier.self.Address+Path+"?"+addressParam+"="+address, nil)
	require.NoError(t, err)
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	return req
}

func statusOf(t *testing.T, req *http.Request) int {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// The end of a carried connection must look as that of a direct one does: an answer that ends
// with its connection is otherwise taken for complete.
func TestBrokenCarriedConnectionIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		serve    func(c *net.TCPConn)
		closeAll bool // the carrier ends
		whole    bool
	}{
		"closed in order": {serve: echo, whole: true},
		"reset by the backend server": {serve: func(c *net.TCPConn) {
			buf := make([]byte, 64)
			n, _ := c.Read(buf)
			_, _ = c.Write(buf[:n])
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}},
		"the carrier ends": {closeAll: true, serve: func(c *net.TCPConn) {
			buf := make([]byte, 64)
			n, _ := c.Read(buf)
			_, _ = c.Write(buf[:n])
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 2, 10)
			d, carrier := f.daemons[0], f.daemons[1]
			d.link.cut(false)
			conn, err := d.Connect(t.Context(), backend(t, c.serve))
			require.NoError(t, err)
			if c.closeAll {
				time.AfterFunc(100*time.Millisecond, carrier.carrier.Close)
			}
			answer, err := exchange(t, conn, "part")
			require.Equal(t, "part", answer)
			if c.whole {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// A backend server must not work on for a daemon that has closed its connection.
func TestBackendServerSeesTheEndOfACarriedConnection(t *testing.T) {
	ended := make(chan error, 1)
	address := backend(t, func(c *net.TCPConn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
	})
	f := newTestFleet(t, 2, 10)
	f.daemons[0].link.cut(false)
	c, err := f.daemons[0].Connect(t.Context(), address)
	require.NoError(t, err)
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the connection is still open")
	}
	require.Eventually(t, func() bool { return f.daemons[1].carrier.Carried() == 0 }, time.Second, time.Millisecond)
}

// A caller that leaves while no daemon responds ends the attempts, and is no evidence.
func TestCancelledConnectEndsAtOnce(t *testing.T) {
	f := newTestFleet(t, 2, 10)
	for _, d := range f.daemons {
		d.link.cut(true)
	}
	address := backend(t, echo)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	began := time.Now()
	_, err := f.daemons[0].Connect(ctx, address)
	require.Error(t, err)
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.Equal(t, Direct, f.daemons[0].paths.Way(address))
	require.False(t, errors.Is(err, syscall.ECONNREFUSED))
}

// Daemons that are cut off as well use up no attempt, and once one address is carried, those
// that failed before are tried again.
func TestMostDaemonsOfAFleetAreCutOff(t *testing.T) {
	f := newTestFleet(t, 12, 100)
	d := f.daemons[0]
	var addresses []string
	for range 20 {
		addresses = append(addresses, backend(t, echo))
	}
	for _, o := range f.daemons[:10] {
		o.link.cut(false)
	}
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() {
			if c, err := d.Probe(t.Context(), a); err == nil {
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	require.Eventually(t, func() bool { return d.paths.Count()[Unreachable] == 0 }, time.Second, 5*time.Millisecond)
	require.Equal(t, len(addresses), d.paths.Count()[Carried])
}

// Many connections to one address share the search for a carrier.
func TestSimultaneousConnectionsShareASearch(t *testing.T) {
	f := newTestFleet(t, 8, 100)
	address := backend(t, echo)
	for _, o := range f.daemons[:6] {
		o.link.cut(false)
	}
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			c, err := f.daemons[0].Connect(t.Context(), address)
			if err != nil {
				t.Error(err)
				return
			}
			_ = c.Close()
		})
	}
	wg.Wait()
	for _, o := range f.daemons[1:6] {
		require.LessOrEqual(t, o.link.dials(), 3)
	}
}

// newFarLink returns a network whose round trips take long.
func newFarLink(delay time.Duration) network.Connector {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-time.After(delay):
			return new(net.Dialer).DialContext(ctx, network, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return network.NewDirectConnector(dial, network.Timeouts{Connect: 2 * time.Second, Probe: 500 * time.Millisecond}, nil)
}

// A backend server in another region is far away, not out of reach.
func TestFarBackendServersAreReachedDirectly(t *testing.T) {
	f := newTestFleet(t, 2, 10)
	d := f.daemons[0]
	d.opts.Direct, d.opts.Timing = newFarLink(200*time.Millisecond), WideAreaTiming
	address := backend(t, echo)
	c, err := d.Connect(t.Context(), address)
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Equal(t, Direct, d.paths.Way(address))
	d.paths.Fail(address, time.Now())
	signal(d.impeded)
	require.Eventually(t, func() bool { return d.paths.Way(address) == Direct }, 3*time.Second, 10*time.Millisecond)
}
