package standins

import (
	"net"
	"sync"
	"time"
)

// proxy is the network between the machines and one runner. While it is cut, it holds all bytes
// and ends of connections, in both directions, as a network does for peers that send them
// again; new connections hang.
type proxy struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	healed chan struct{} // closed unless the network is cut
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, healed: make(chan struct{})}
	close(p.healed)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

// await waits until the network is not cut.
func (p *proxy) await() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(in.(*net.TCPConn))
	}
}

func (p *proxy) serve(in *net.TCPConn) {
	defer in.Close()
	p.await()
	c, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := c.(*net.TCPConn)
	defer out.Close()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, in) })
	wg.Go(func() { p.copy(in, out) })
	wg.Wait()
}

// copy copies bytes and the end of a connection, in order or by a reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.await()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.CloseRead()
				return
			}
		}
		if err == nil {
			continue
		}
		if isEOF(err) {
			_ = to.CloseWrite()
			return
		}
		_ = to.SetLinger(0)
		_ = to.Close()
		return
	}
}
