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
	Usable   bool
	Capacity float64 // tokens per second: learnt, else declared
}

// View is an immutable picture of the fleet, ordered by name.
type View struct {
	Version uint64
	Servers []Info
	links   map[linkKey]float64
}

type linkKey struct{ from, to string }

// AnyServer stands for all backend servers at one end of a link.
const AnyServer = ""

// LinkFactor returns the share of its capacity that a link has now, in (0,1]:
// the least of its own, that of all links of its sender, and of its receiver.
func (v *View) LinkFactor(from, to string) float64 {
	factor := 1.0
	for _, k := range [...]linkKey{{from, to}, {from, AnyServer}, {AnyServer, to}} {
		if f, ok := v.links[k]; ok {
			factor = min(factor, f)
		}
	}
	return factor
}
