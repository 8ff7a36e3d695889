package routing

import "math"

// flowEps is the residual capacity, in tokens per second, below which an edge
// counts as saturated.
const flowEps = 1e-6

// arc is a directed arc of the residual network. Its reverse is at index^1.
type arc struct {
	to  int32
	cap float64
}

// network is a max-flow problem solved with Dinic's algorithm.
type network struct {
	arcs  []arc
	adj   [][]int32
	level []int32
	iter  []int32
}

func newNetwork(nodes int) *network {
	return &network{
		adj:   make([][]int32, nodes),
		level: make([]int32, nodes),
		iter:  make([]int32, nodes),
	}
}

// add adds an arc and its reverse to the network and returns the arc's index.
func (n *network) add(from, to int, capacity float64) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{int32(to), capacity}, arc{int32(from), 0})
	n.adj[from] = append(n.adj[from], int32(id))
	n.adj[to] = append(n.adj[to], int32(id+1))
	return id
}

// maxFlow computes a maximum flow from s to t and returns its value.
func (n *network) maxFlow(s, t int) float64 {
	total := 0.0
	for n.setLevels(s, t) {
		clear(n.iter)
		for {
			pushed := n.push(s, t, math.Inf(1))
			if pushed <= flowEps {
				break
			}
			total += pushed
		}
	}
	return total
}

// setLevels sets the breadth-first level of each node reachable from s in the
// residual network and reports whether t is reachable.
func (n *network) setLevels(s, t int) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[s] = 0
	queue := make([]int32, 1, len(n.level))
	queue[0] = int32(s)
	for len(queue) > 0 {
		u := queue[0]
		queue = queue[1:]
		for _, id := range n.adj[u] {
			a := &n.arcs[id]
			if a.cap > flowEps && n.level[a.to] < 0 {
				n.level[a.to] = n.level[u] + 1
				queue = append(queue, a.to)
			}
		}
	}
	return n.level[t] >= 0
}

// push sends up to limit along one path of increasing levels from u to t and
// returns the amount.
func (n *network) push(u, t int, limit float64) float64 {
	if u == t {
		return limit
	}
	for ; int(n.iter[u]) < len(n.adj[u]); n.iter[u]++ {
		id := n.adj[u][n.iter[u]]
		a := &n.arcs[id]
		if a.cap <= flowEps || n.level[a.to] != n.level[u]+1 {
			continue
		}
		pushed := n.push(int(a.to), t, math.Min(limit, a.cap))
		if pushed <= flowEps {
			continue
		}
		n.arcs[id].cap -= pushed
		n.arcs[id^1].cap += pushed
		return pushed
	}
	return 0
}

// reachable reports whether a node is on the source's side of the minimum cut. It
// is valid after maxFlow.
func (n *network) reachable(node int) bool { return n.level[node] >= 0 }
