// Package standin holds small fakes of the back ends that the system meets:
// model engines and plain services. They talk over real sockets and have
// switches for the faults that users report. The platform's fake is in memstore.
package standin

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/topology"
)

// pass is one token of one attempt.
type pass struct {
	request string
	attempt int
	index   int
}

// Ledger records which layers ran for which token, so that exactly-once can be
// asserted from outside the system.
type Ledger struct {
	mu         sync.Mutex
	layers     map[pass][]topology.LayerRange
	executions map[string]int // starts of a request on an engine or service
	calls      map[string]int // of plain services, by body
	recomputed int            // layer-tokens of delivered tokens that were computed again
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{layers: map[pass][]topology.LayerRange{}, executions: map[string]int{}, calls: map[string]int{}}
}

func (l *Ledger) ran(p pass, r topology.LayerRange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.layers[p] = append(l.layers[p], r)
}

// begin counts the start of a request, and of a call with a body.
func (l *Ledger) begin(request, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[request]++
	l.calls[body]++
}

func (l *Ledger) again(layerTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recomputed += layerTokens
}

// Calls returns how often a plain service ran a call with a body.
func (l *Ledger) Calls(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[body]
}

// Executions returns how often a request began to run anywhere.
func (l *Ledger) Executions(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[request]
}

// Recomputed returns the layer-tokens of delivered tokens that were computed again.
func (l *Ledger) Recomputed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recomputed
}

// Check returns an error unless every recorded token went through its layers
// at most once and in order, without a gap.
func (l *Ledger) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, ranges := range l.layers {
		at := 0
		for _, r := range ranges {
			if r.Lo != at {
				return fmt.Errorf("request %s attempt %d token %d ran layers %v", p.request, p.attempt, p.index, ranges)
			}
			at = r.Hi
		}
	}
	return nil
}

// Word returns the text of a token, which depends on the prompt and the index
// alone, so that a foreign, lost or repeated token shows in the answer.
func Word(prompt string, index int) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(prompt), index)
}

// Answer returns the whole answer of n tokens to a prompt.
func Answer(prompt string, n int) string {
	var b []byte
	for i := range n {
		b = append(b, Word(prompt, i)...)
	}
	return string(b)
}
