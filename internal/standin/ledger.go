// Package standin implements fakes of model engines and plain services, for tests and
// trials. They serve HTTP and have switches for faults. The fake of the platform is in
// package memstore.
package standin

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/topology"
)

// pass identifies a token of an attempt.
type pass struct {
	request string
	attempt int
	index   int
}

// Ledger records the layers that ran for each token and the executions of each request,
// so that tests can check for repeated execution.
type Ledger struct {
	mu         sync.Mutex
	layers     map[pass][]topology.LayerRange // in the order of execution
	executions map[string]int                 // starts of a request on engines and services
	calls      map[string]int                 // executed calls of plain services, by body
	recomputed int                            // layer-tokens of delivered tokens that were recomputed
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{layers: map[pass][]topology.LayerRange{}, executions: map[string]int{}, calls: map[string]int{}}
}

// addPass records that a token ran through a range of layers.
func (l *Ledger) addPass(p pass, r topology.LayerRange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.layers[p] = append(l.layers[p], r)
}

// begin counts the start of a request and of a call with a body.
func (l *Ledger) begin(request, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[request]++
	l.calls[body]++
}

func (l *Ledger) addRecomputed(layerTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recomputed += layerTokens
}

// Calls returns the number of executions of calls of plain services with a body.
func (l *Ledger) Calls(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[body]
}

// Executions returns the number of starts of a request on engines and services.
func (l *Ledger) Executions(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[request]
}

// Recomputed returns the number of layer-tokens of delivered tokens that were recomputed.
func (l *Ledger) Recomputed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recomputed
}

// Check returns an error if the layers of a recorded token did not run in order, without
// gaps and at most once.
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

// TokenText returns the text of a token. It depends only on the prompt and the index, so that
// foreign, lost and repeated tokens change the answer.
func TokenText(prompt string, index int) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(prompt), index)
}

// Answer returns the complete answer of n tokens to a prompt.
func Answer(prompt string, n int) string {
	var b []byte
	for i := range n {
		b = append(b, TokenText(prompt, i)...)
	}
	return string(b)
}
