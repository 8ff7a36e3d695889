package detour

import (
	"iter"
	"sync"
)

// AddressIndex holds the addresses of the newest state of type T that was asked for, so that
// frequent questions about a large state are cheap. The zero value is ready for use, and safe
// for concurrent use.
type AddressIndex[T any] struct {
	mu        sync.Mutex
	state     *T
	addresses map[string]struct{}
}

// Has reports whether a state, which must not change, has an address. list returns its
// addresses.
func (x *AddressIndex[T]) Has(state *T, list func(*T) iter.Seq[string], address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state != state || x.addresses == nil {
		x.state, x.addresses = state, map[string]struct{}{}
		for a := range list(state) {
			x.addresses[a] = struct{}{}
		}
	}
	_, has := x.addresses[address]
	return has
}
