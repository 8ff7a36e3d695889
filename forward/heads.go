package forward

import "sync"

// triedHeads is the set of first hops to which a request was sent, by ID. It is safe for
// concurrent use, since a stream's timer may read it while the next send begins.
type triedHeads struct {
	mu  sync.Mutex
	ids map[string]headState
}

// headState determines whether a head counts against the maximum number of attempts.
type headState uint8

const (
	headActive     headState = iota
	headTerminated           // has terminated since
	headNotReached           // no send has reached the head
)

// add records a send to a head.
func (h *triedHeads) add(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ids == nil {
		h.ids = map[string]headState{}
	}
	h.ids[id] = headActive
}

// drop records that the only send to a head did not reach it.
func (h *triedHeads) drop(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ids[id] = headNotReached
}

// has reports whether a send may have reached a head.
func (h *triedHeads) has(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state, known := h.ids[id]
	return known && state != headNotReached
}

// count returns the number of heads, including those that were not reached.
func (h *triedHeads) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ids)
}

// countActive returns the number of heads that count as attempts. A head for which
// hasTerminated once returned true never counts again.
func (h *triedHeads) countActive(hasTerminated func(id string) bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for id, state := range h.ids {
		if state == headActive && hasTerminated(id) {
			h.ids[id] = headTerminated
		}
		if h.ids[id] == headActive {
			n++
		}
	}
	return n
}
