package forward

import "sync"

// heads are the first hops that a request was sent to, by ID. It is safe for concurrent
// use: a stream's timer asks while the next send may begin.
type heads struct {
	mu  sync.Mutex
	ids map[string]headState
}

// headState says whether a head counts among those that a request may be sent to.
type headState uint8

const (
	headCounts     headState = iota
	headEnded                // has surely ended since
	headNotReached           // no send has reached it
)

// add notes a send that may reach a head.
func (h *heads) add(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ids == nil {
		h.ids = map[string]headState{}
	}
	h.ids[id] = headCounts
}

// drop notes that the only send to a head has not reached it.
func (h *heads) drop(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ids[id] = headNotReached
}

// has reports whether a send may have reached a head.
func (h *heads) has(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state, known := h.ids[id]
	return known && state != headNotReached
}

// count returns how many there are, with those that were not reached.
func (h *heads) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ids)
}

// living returns how many of them count, as ended told at any time.
func (h *heads) living(hasEnded func(id string) bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for id, state := range h.ids {
		if state == headCounts && hasEnded(id) {
			h.ids[id] = headEnded
		}
		if h.ids[id] == headCounts {
			n++
		}
	}
	return n
}
