// Package admission decides which request runs next and which is refused: an
// adaptive concurrency limit per backend server, a queue per model that is fair
// over workspaces, token buckets for workspace limits, and retry budgets. It is
// pure: state and a clock in, decision and reasons out.
package admission

import (
	"container/heap"
	"time"
)

// Waiting is a request in the queue.
type Waiting struct {
	Workspace string
	Weight    float64 // share of the workspace, above 0
	Priority  int     // higher goes first
	Deadline  time.Time
	Cost      float64 // expected work, such as tokens; 0 counts as 1
	Owner     any     // whatever the caller needs to find its request again

	index int // in its flow's heap, -1 when not queued
	seq   uint64
	flow  *flow
	band  *band
}

// Queue orders waiting requests: the highest priority first, within it the
// workspaces in proportion to their weights, within a workspace the earliest
// deadline. It is not safe for concurrent use.
type Queue struct {
	bands map[int]*band
	order []int // priorities in use, highest first
	size  int
	seq   uint64
}

// band holds the requests of one priority.
type band struct {
	priority int
	flows    map[string]*flow
	active   minHeap[*flow]
	virtual  float64 // start of the flow served last
}

// flow holds the requests of one workspace in one band. start is its virtual
// time: the work it got so far divided by its weight (start-time fair queueing).
type flow struct {
	workspace string
	start     float64
	weight    float64
	items     minHeap[*Waiting]
	index     int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{bands: map[int]*band{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Push puts a request into the queue.
func (q *Queue) Push(w *Waiting) {
	b := q.bands[w.Priority]
	if b == nil {
		b = &band{priority: w.Priority, flows: map[string]*flow{}}
		q.bands[w.Priority] = b
		q.insertPriority(w.Priority)
	}
	f := b.flows[w.Workspace]
	if f == nil {
		f = &flow{workspace: w.Workspace, index: -1, start: b.virtual}
		b.flows[w.Workspace] = f
	}
	f.weight = w.Weight
	q.seq++
	w.seq, w.flow, w.band = q.seq, f, b
	heap.Push(&f.items, w)
	q.size++
	if f.index < 0 {
		// A workspace that was idle earns no credit for that time.
		f.start = max(f.start, b.virtual)
		heap.Push(&b.active, f)
	}
}

func (q *Queue) insertPriority(p int) {
	i := 0
	for i < len(q.order) && q.order[i] > p {
		i++
	}
	q.order = append(q.order, 0)
	copy(q.order[i+1:], q.order[i:])
	q.order[i] = p
}

// Peek returns the request that is next, or nil.
func (q *Queue) Peek() *Waiting {
	for _, p := range q.order {
		if b := q.bands[p]; len(b.active) > 0 {
			return b.active[0].items[0]
		}
	}
	return nil
}

// Pop takes the next request out of the queue, or returns nil.
func (q *Queue) Pop() *Waiting {
	w := q.Peek()
	if w == nil {
		return nil
	}
	f, b := w.flow, w.band
	b.virtual = max(b.virtual, f.start)
	f.start += max(w.Cost, 1) / w.Weight
	q.detach(w)
	if f.index >= 0 {
		heap.Fix(&b.active, f.index)
	}
	return w
}

// Remove takes a request out of the queue before its turn; false means that it
// was not queued any more.
func (q *Queue) Remove(w *Waiting) bool {
	if w.flow == nil || w.index < 0 {
		return false
	}
	q.detach(w)
	return true
}

func (q *Queue) detach(w *Waiting) {
	f, b := w.flow, w.band
	heap.Remove(&f.items, w.index)
	q.size--
	if len(f.items) > 0 {
		return
	}
	heap.Remove(&b.active, f.index)
	q.forgetIdle(b)
}

// forgetIdle drops the flows that are behind the band's virtual time once there
// are many: a fresh flow would start at the same point.
func (q *Queue) forgetIdle(b *band) {
	if len(b.flows) < 2*len(b.active)+64 {
		return
	}
	for name, f := range b.flows {
		if f.index < 0 && f.start <= b.virtual {
			delete(b.flows, name)
		}
	}
}

// Ahead returns the number of requests that would be served before a request of
// this workspace, weight and priority if it were queued now.
func (q *Queue) Ahead(workspace string, weight float64, priority int) int {
	ahead := 0
	for _, p := range q.order {
		b := q.bands[p]
		if p > priority {
			ahead += b.queued()
		}
		if p == priority {
			ahead += b.aheadOf(workspace, weight)
		}
	}
	return ahead
}

// Modest reports whether a workspace has no more requests waiting at a priority
// than its weight among those that wait entitles it to.
func (q *Queue) Modest(workspace string, weight float64, priority int) bool {
	b := q.bands[priority]
	if b == nil || b.flows[workspace] == nil {
		return true
	}
	weights := 0.0
	for _, f := range b.active {
		weights += f.weight
	}
	own := float64(len(b.flows[workspace].items))
	return own*weights <= float64(b.queued())*weight
}

func (b *band) queued() int {
	n := 0
	for _, f := range b.active {
		n += len(f.items)
	}
	return n
}

// aheadOf counts a workspace's own requests and, of each other one, at most its
// share for the time that those take.
func (b *band) aheadOf(workspace string, weight float64) int {
	own := 0
	if f := b.flows[workspace]; f != nil {
		own = len(f.items)
	}
	n := float64(own)
	for _, f := range b.active {
		if f.workspace == workspace {
			continue
		}
		share := float64(own+1) * f.weight / weight
		n += min(float64(len(f.items)), share)
	}
	return int(n)
}
