package standins

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runner is a backend server of a plain service, as a process of its own.
type runner struct {
	p           *play
	id, address string
	cmd         *exec.Cmd

	mu    sync.Mutex
	lines []string // what it has said, one line for each request
	said  chan struct{}
}

// newRunner starts a runner at an address, "" for a free port of its own loopback address.
func (p *play) newRunner(id, address string) *runner {
	r := &runner{p: p, id: id, address: address, said: make(chan struct{}, 1000)}
	if address == "" {
		l, err := net.Listen("tcp", p.host(100)+":0")
		p.check(err)
		r.address = l.Addr().String()
		p.check(l.Close())
	}
	r.start()
	return r
}

func (r *runner) start() {
	r.cmd = exec.Command(os.Args[0], "runner", "-id", r.id, "-address", r.address)
	out, err := r.cmd.StdoutPipe()
	r.p.check(err)
	r.cmd.Stderr = os.Stderr
	r.p.start(r.cmd)
	s := bufio.NewScanner(out)
	if !s.Scan() {
		panic(notRun("runner " + r.id + " does not listen"))
	}
	r.p.note("runner %s listens at %s", r.id, r.address)
	go func() {
		for s.Scan() {
			r.p.note("runner %s: %s", r.id, s.Text())
			r.mu.Lock()
			r.lines = append(r.lines, s.Text())
			r.mu.Unlock()
			r.said <- struct{}{}
		}
	}()
}

// await waits until the runner has said a line.
func (r *runner) await(line string) {
	timeout := time.After(5 * time.Second)
	for !r.hasSaid(line) {
		select {
		case <-r.said:
		case <-timeout:
			panic(notRun("runner " + r.id + " did not say " + line))
		}
	}
}

func (r *runner) hasSaid(line string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if l == line {
			return true
		}
	}
	return false
}

func (r *runner) kill() {
	r.p.note("runner %s gets %s", r.id, syscall.SIGKILL)
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// leave makes the runner say in all its answers that it leaves.
func (r *runner) leave() {
	r.p.note("runner %s says that it leaves", r.id)
	_ = r.cmd.Process.Signal(syscall.SIGUSR1) // it may have ended
	r.await("leaving")
}

// entry is the runner's entry in the store.
func (r *runner) entry(zone, state string, born int64) map[string]any {
	return wholeEntry(r.address, zone, state, born)
}

// wholeEntry is the entry of a runner of the plain service, with all fields.
func wholeEntry(address, zone, state string, born int64) map[string]any {
	return map[string]any{
		"service": "plain", "address": address, "zone": zone, "version": "1", "slots": 20, "state": state,
		"coldLeftMs": 0, "sequence": 1, "born": born,
	}
}

// wholeBody is the body of the answer to a request.
func wholeBody(id string) string {
	var b strings.Builder
	for i := 1; i <= 40; i++ {
		fmt.Fprintf(&b, "line %d of 40 for %s\n", i, id)
	}
	return b.String()
}

// leaving is set in the process of a runner that leaves.
var leaving atomic.Bool

// runRunner is the process of a runner.
func runRunner(args []string) {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	id := f.String("id", "", "ID")
	address := f.String("address", "", "address")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		leaving.Store(true)
		fmt.Println("leaving")
	}()
	fmt.Println("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveRunner(c, *id)
	}
}

// serveRunner serves one connection.
func serveRunner(c net.Conn, id string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !answerRunner(c, req, id) {
			return
		}
	}
}

// answerRunner answers a request and reports whether the connection goes on. A request to a path
// with "slow" takes a second, and its answer ends with its connection; "work" takes as long.
func answerRunner(c net.Conn, req *http.Request, id string) bool {
	head := func(status, rest string) { fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s\r\n", status, rest) }
	stated := ""
	if leaving.Load() {
		stated = "Server-Leaving: 1\r\n"
	}
	own := stated + "Snowspoke-Instance-Id: " + id + "\r\n"
	request := req.Header.Get("Snowspoke-Request-Id")
	echoed := ""
	if request != "" {
		echoed = "Snowspoke-Request-Id: " + request + "\r\n"
	}
	switch expected := req.Header.Get("Snowspoke-Expect-Instance"); {
	case expected != "" && expected != id:
		head("421 Misdirected Request", own+echoed+"Snowspoke-Not-Run: 1\r\nContent-Length: 0\r\n")
		return true
	case req.URL.Path == "/health":
		head("200 OK", own+"Content-Length: 0\r\n")
		return true
	case request == "":
		head("400 Bad Request", stated+"Snowspoke-Not-Run: 1\r\nContent-Length: 0\r\n")
		return true
	}
	fmt.Println("runs", request)
	body, sealed := wholeBody(request), stated+echoed+"Snowspoke-Server-Seal: "+id+"."+request+"\r\n"
	if !strings.Contains(req.URL.Path, "slow") {
		if strings.Contains(req.URL.Path, "work") {
			time.Sleep(time.Second)
		}
		head("200 OK", fmt.Sprintf("%sContent-Length: %d\r\n", sealed, len(body)))
		_, err := io.WriteString(c, body)
		fmt.Println("answered", request)
		return err == nil
	}
	head("200 OK", sealed)
	_, _ = io.WriteString(c, body[:len(body)/2])
	fmt.Println("half", request)
	time.Sleep(time.Second)
	_, _ = io.WriteString(c, body[len(body)/2:])
	fmt.Println("answered", request)
	return false
}
