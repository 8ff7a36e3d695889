package fleet

import (
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/topology"
)

// Info is one backend server in a View.
type Info struct {
	Config   *topology.BackendServer
	Live     *Server
	Holdings []backend.Holding
	Role     backend.Role
	Usable   bool    // whether new work may go to the backend server
	Capacity float64 // tokens per second: measured if known, else declared
}

// View is an immutable view of the fleet, with servers ordered by name.
type View struct {
	Version     uint64
	Servers     []Info
	linkFactors map[linkKey]float64
}

type linkKey struct{ from, to string }

// AnyServer matches all backend servers at one end of a link.
const AnyServer = ""

// LinkFactor returns the fraction of its capacity that a link has now, in (0,1]. It
// is the minimum of the link's own factor, the factor of all links of its sender and
// the factor of all links of its receiver.
func (v *View) LinkFactor(from, to string) float64 {
	factor := 1.0
	for _, k := range [...]linkKey{{from, to}, {from, AnyServer}, {AnyServer, to}} {
		if f, ok := v.linkFactors[k]; ok {
			factor = min(factor, f)
		}
	}
	return factor
}
