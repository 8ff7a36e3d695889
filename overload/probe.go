package overload

import (
	"fmt"
	"os"
)

// Probe makes round trips whose duration shows how long events wait for the process.
type Probe interface {
	// Send begins a round trip. It does not block.
	Send() error
	// Receive waits for the end of a round trip.
	Receive() error
	// Close ends a call of Receive with an error.
	Close() error
}

// Pipe is a Probe over a pipe. Its bytes wait as those of sockets do: for the poller, for the
// processor and for other goroutines.
type Pipe struct{ r, w *os.File }

// NewPipe returns a Probe over a pipe.
func NewPipe() (*Pipe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("overload: %w", err)
	}
	return &Pipe{r: r, w: w}, nil
}

// Send implements Probe.
func (p *Pipe) Send() error {
	_, err := p.w.Write([]byte{0})
	return err
}

// Receive implements Probe.
func (p *Pipe) Receive() error {
	var b [1]byte
	_, err := p.r.Read(b[:])
	return err
}

// Close implements Probe.
func (p *Pipe) Close() error {
	err := p.w.Close()
	if readErr := p.r.Close(); err == nil {
		err = readErr
	}
	return err
}
