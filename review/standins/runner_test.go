package standins

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// A runner of a plain service is a process of its own, so that it can be killed. Its answers have
// neither a length nor chunks and end with their connection. It writes each in pieces.
const (
	answerPieces = 8
	pieceGap     = 50 * time.Millisecond
	pieceBytes   = 100
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// wholeBody returns the body of the answer to a request.
func wholeBody(id string) string {
	var b strings.Builder
	for i := range answerPieces {
		piece := fmt.Sprintf("%s piece %d of %d ", id, i+1, answerPieces)
		b.WriteString(piece + strings.Repeat(".", pieceBytes-len(piece)-1) + "\n")
	}
	return b.String()
}

// runRunner serves until the process is killed, and prints what it runs.
func runRunner(args []string) {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	id := f.String("id", "", "registered ID")
	address := f.String("address", "", "listening address")
	length := f.Bool("length", false, "answers have a length")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveRunner(c, *id, *length)
	}
}

func serveRunner(c net.Conn, id string, length bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !answerRequest(c, req, id, length) {
			return
		}
	}
}

// answerRequest answers a request and reports whether the connection stays open.
func answerRequest(c net.Conn, req *http.Request, id string, length bool) (keep bool) {
	requestID := req.Header.Get("Snowspoke-Request-Id")
	head := "Snowspoke-Instance-Id: " + id + "\r\n"
	if requestID != "" {
		head += "Snowspoke-Request-Id: " + requestID + "\r\n"
	}
	if expected := req.Header.Get("Snowspoke-Expect-Instance"); expected != "" && expected != id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	if req.URL.Path == healthPath {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	if requestID == "" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%sSnowspoke-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	fmt.Printf("ran %s\n", requestID)
	body, framing := wholeBody(requestID), "Connection: close\r\n"
	if length {
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sSnowspoke-Server-Seal: seal-%s\r\n%s\r\n", head, id, framing)
	for len(body) > 0 {
		time.Sleep(pieceGap)
		if _, err := io.WriteString(c, body[:pieceBytes]); err != nil {
			return false
		}
		body = body[pieceBytes:]
	}
	fmt.Printf("wrote the whole answer to %s\n", requestID)
	return length
}

const healthPath = "/health"

// plainRunner is a runner process behind a proxy.
type plainRunner struct {
	w       *world
	id      string
	zone    string
	address string // where the process listens
	proxy   *proxy // its address is the one in the record
	args    []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	born int64
	ran  map[string]time.Time // by request ID
}

func (w *world) startRunner(id, zone string, args ...string) (*plainRunner, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p, err := newProxy(address)
	if err != nil {
		return nil, err
	}
	r := &plainRunner{w: w, id: id, zone: zone, address: address, proxy: p, args: args, ran: map[string]time.Time{}}
	w.onClose(func() {
		p.close()
		r.kill()
	})
	return r, r.start()
}

// start starts the process and writes its record once it listens.
func (r *plainRunner) start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, append([]string{"runner", "-id", r.id, "-address", r.address}, r.args...)...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("runner %s does not listen", r.id)
	}
	go func() {
		for lines.Scan() {
			r.note(lines.Text())
		}
	}()
	r.mu.Lock()
	r.cmd, r.born = cmd, time.Now().UnixMilli()
	r.mu.Unlock()
	r.w.store.Set("servers", r.id, map[string]any{
		"service": plainService, "address": r.proxy.address(), "zone": r.zone, "version": "1", "slots": 6,
		"state": "ready", "coldLeftMs": 0, "sequence": 0, "born": r.born,
	})
	return nil
}

const plainService = "cards"

// kill ends the process as a crash does.
func (r *plainRunner) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
	r.cmd = nil
}

// withLength makes the answers of a runner have a length.
const withLength = "-length"

// note records a line that the process printed.
func (r *plainRunner) note(line string) {
	r.w.notef("%s %s", r.id, line)
	if id, ok := strings.CutPrefix(line, "ran "); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ran[id] = time.Now()
	}
}

// ranAt returns when the runner began to run each request.
func (r *plainRunner) ranAt() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.ran)
}
