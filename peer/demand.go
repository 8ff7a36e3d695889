package peer

import (
	"context"
	"net/http"
	"sync"
)

// PathDemand is the path that returns the demand of a daemon's callers, by model.
const PathDemand = "/peer/v1/demand"

// ModelDemand is the demand for one model.
type ModelDemand struct {
	Model  string  `cbor:"1,keyasint"`
	Tokens float64 `cbor:"2,keyasint"` // per second
}

// demandRequest requests the demands of a daemon.
type demandRequest struct{}

// maxDemandCalls limits the concurrent demand calls.
const maxDemandCalls = 16

// Demands queries all other daemons and returns the demand of the fleet by model,
// in tokens per second, including this daemon's own. Daemons that do not answer are
// left out.
func (n *Node) Demands(ctx context.Context, own []ModelDemand) map[string]float64 {
	sum := map[string]float64{}
	var mu sync.Mutex
	add := func(part []ModelDemand) {
		mu.Lock()
		defer mu.Unlock()
		for _, d := range part {
			sum[d.Model] += d.Tokens
		}
	}
	add(own)
	slots := make(chan struct{}, maxDemandCalls)
	var wg sync.WaitGroup
	for _, m := range n.working() {
		if m.Name == n.opts.Self.Name {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			var part []ModelDemand
			if n.call(callCtx, m.Name, PathDemand, demandRequest{}, &part) == nil {
				add(part)
			}
		})
	}
	wg.Wait()
	return sum
}

// ServeDemand adds the handler that returns this daemon's demands to mux.
func (n *Node) ServeDemand(mux *http.ServeMux, own func() []ModelDemand) {
	mux.HandleFunc("POST "+PathDemand, func(w http.ResponseWriter, r *http.Request) {
		var in demandRequest
		if n.readCall(w, r, &in) {
			n.writeCall(w, own())
		}
	})
}
