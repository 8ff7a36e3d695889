package site

import (
	"fmt"
	"strings"
)

// Range is a half-open range of layers.
type Range struct{ From, To int }

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

// Has reports whether the range includes a layer.
func (r Range) Has(layer int) bool { return r.From <= layer && layer < r.To }

// Overlap returns the number of layers that two ranges share.
func (r Range) Overlap(o Range) int { return max(0, min(r.To, o.To)-max(r.From, o.From)) }

// BackendServer is one incarnation of a backend server as registered.
type BackendServer struct {
	ID            string // of this incarnation, never reused
	Incarnation   Incarnation
	Service       string
	Address       string // host:port; may be reused by another incarnation later
	FailureDomain string
	Slots         int
	Draining      bool
	Kind          string // of accelerator, "" for plain services
	Held          Range  // layers that it holds; empty for none
}

// RegisteredName returns the name under which the backend server registered, which it
// expects in requests.
func (s *BackendServer) RegisteredName() string {
	if s.Incarnation.Name == "" {
		return s.ID
	}
	return s.Incarnation.Name
}

// Restarted returns the backend server after a restart that its record does not show yet.
// It holds no layers and is not draining.
func (s *BackendServer) Restarted(incarnation Incarnation) *BackendServer {
	restarted := *s
	restarted.ID, restarted.Incarnation, restarted.Held, restarted.Draining = incarnation.ID(), incarnation, Range{}, false
	return &restarted
}

// Hop is one part of a path: a backend server and the layers it runs.
type Hop struct {
	Server *BackendServer
	Layers Range
}

// Path is the sequence of hops of a request.
type Path []Hop

// CheckTiling returns an error unless the hops run each of the layers once, in order, on
// distinct backend servers that hold them.
func (p Path) CheckTiling(layers int) error {
	if err := p.CheckOrder(layers); err != nil {
		return err
	}
	for _, h := range p {
		if h.Layers.From < h.Server.Held.From || h.Layers.To > h.Server.Held.To {
			return fmt.Errorf("path %s: %s does not hold the layers of its hop", p, h.Server.ID)
		}
	}
	return nil
}

// CheckOrder returns an error unless the hops run each of the layers once, in order, on
// distinct backend servers. It does not check that they hold the layers, since a hop of a
// running stream may be releasing them.
func (p Path) CheckOrder(layers int) error {
	end := 0
	addresses := map[string]bool{}
	for _, h := range p {
		if h.Layers.From != end || h.Layers.Len() <= 0 {
			return fmt.Errorf("path %s: invalid hop at layer %d", p, h.Layers.From)
		}
		if addresses[h.Server.Address] {
			return fmt.Errorf("path %s: duplicate address %s", p, h.Server.Address)
		}
		addresses[h.Server.Address] = true
		end = h.Layers.To
	}
	if end != layers {
		return fmt.Errorf("path %s ends at layer %d of %d", p, end, layers)
	}
	return nil
}

// Uses reports whether a backend server is on the path.
func (p Path) Uses(id string) bool {
	for _, h := range p {
		if h.Server.ID == id {
			return true
		}
	}
	return false
}

// At returns the backend server of the hop at an address, or nil.
func (p Path) At(address string) *BackendServer {
	for _, h := range p {
		if h.Server.Address == address {
			return h.Server
		}
	}
	return nil
}

// String lists the hops for logs.
func (p Path) String() string {
	var b strings.Builder
	for i, h := range p {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%d-%d", h.Server.Address, h.Layers.From, h.Layers.To)
	}
	return b.String()
}
