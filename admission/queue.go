// Package admission provides the parts that decide which request runs next and
// which is refused: an adaptive concurrency limit per backend server, a queue that
// is fair between workspaces, token buckets for workspace limits, and retry
// budgets. It does no I/O and reads no clock; callers pass the current time.
package admission

import (
	"container/heap"
	"time"
)

// Item is a request in a Queue.
type Item struct {
	Workspace string
	Weight    float64 // share of the workspace, above 0
	Priority  int     // higher goes first
	Deadline  time.Time
	Cost      float64 // expected work, such as tokens; 0 counts as 1
	Owner     any     // set by the caller to identify its request

	index int // in its flow's heap, -1 when not queued
	seq   uint64
	flow  *flow
	band  *band
}

// Queue orders waiting requests by priority, highest first. Within a priority it
// serves workspaces in proportion to their weights, and within a workspace the
// earliest deadline first. It is not safe for concurrent use.
type Queue struct {
	bands      map[int]*band
	priorities []int // in use, highest first
	size       int
	seq        uint64
}

// band holds the requests of one priority.
type band struct {
	priority    int
	flows       map[string]*flow
	active      minHeap[*flow]
	virtualTime float64 // highest start of a flow when it was served
}

// flow holds the requests of one workspace in one band. start is its virtual time:
// the work served so far divided by its weight (start-time fair queueing).
type flow struct {
	workspace string
	start     float64
	weight    float64
	items     minHeap[*Item]
	index     int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{bands: map[int]*band{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Push puts a request into the queue.
func (q *Queue) Push(it *Item) {
	b := q.bands[it.Priority]
	if b == nil {
		b = &band{priority: it.Priority, flows: map[string]*flow{}}
		q.bands[it.Priority] = b
		q.insertPriority(it.Priority)
	}
	f := b.flows[it.Workspace]
	if f == nil {
		f = &flow{workspace: it.Workspace, index: -1, start: b.virtualTime}
		b.flows[it.Workspace] = f
	}
	f.weight = it.Weight
	q.seq++
	it.seq, it.flow, it.band = q.seq, f, b
	heap.Push(&f.items, it)
	q.size++
	if f.index < 0 {
		// A workspace gets no credit for idle time.
		f.start = max(f.start, b.virtualTime)
		heap.Push(&b.active, f)
	}
}

func (q *Queue) insertPriority(p int) {
	i := 0
	for i < len(q.priorities) && q.priorities[i] > p {
		i++
	}
	q.priorities = append(q.priorities, 0)
	copy(q.priorities[i+1:], q.priorities[i:])
	q.priorities[i] = p
}

// Peek returns the next request, or nil.
func (q *Queue) Peek() *Item {
	for _, p := range q.priorities {
		if b := q.bands[p]; len(b.active) > 0 {
			return b.active[0].items[0]
		}
	}
	return nil
}

// Pop removes and returns the next request, or returns nil.
func (q *Queue) Pop() *Item {
	it := q.Peek()
	if it == nil {
		return nil
	}
	f, b := it.flow, it.band
	b.virtualTime = max(b.virtualTime, f.start)
	f.start += max(it.Cost, 1) / it.Weight
	q.detach(it)
	if f.index >= 0 {
		heap.Fix(&b.active, f.index)
	}
	return it
}

// Remove removes a request without serving it and reports whether it was still
// queued. Its cost is not charged to the workspace.
func (q *Queue) Remove(it *Item) bool {
	if it.flow == nil || it.index < 0 {
		return false
	}
	q.detach(it)
	return true
}

func (q *Queue) detach(it *Item) {
	f, b := it.flow, it.band
	heap.Remove(&f.items, it.index)
	q.size--
	if len(f.items) > 0 {
		return
	}
	heap.Remove(&b.active, f.index)
	q.dropIdleFlows(b)
}

// dropIdleFlows drops idle flows once there are many. It keeps those that are ahead of
// the band's virtual time, since a new flow would start at the virtual time.
func (q *Queue) dropIdleFlows(b *band) {
	if len(b.flows) < 2*len(b.active)+64 {
		return
	}
	for name, f := range b.flows {
		if f.index < 0 && f.start <= b.virtualTime {
			delete(b.flows, name)
		}
	}
}

// Ahead estimates the number of requests that would be served before a request of
// this workspace, weight and priority if it were queued now.
func (q *Queue) Ahead(workspace string, weight float64, priority int) int {
	ahead := 0
	for _, p := range q.priorities {
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

// WithinShare reports whether the requests that a workspace has waiting at a priority
// are within its weighted share of all that wait there.
func (q *Queue) WithinShare(workspace string, weight float64, priority int) bool {
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

// queued returns the number of requests waiting in the band.
func (b *band) queued() int {
	n := 0
	for _, f := range b.active {
		n += len(f.items)
	}
	return n
}

// aheadOf estimates how many requests of the band are served before a new one of the
// workspace. It counts the workspace's own requests, and for each other workspace at
// most the share that is served in the same time.
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
