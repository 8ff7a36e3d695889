package admission

// node is an element of a minHeap that stores its own index.
type node[T any] interface {
	before(other T) bool
	setIndex(index int) // -1 when it is removed
}

// minHeap implements heap.Interface. Elements can be fixed and removed by their
// index.
type minHeap[T node[T]] []T

// Len implements heap.Interface.
func (h minHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h minHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h minHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

// Push implements heap.Interface.
func (h *minHeap[T]) Push(x any) {
	n := x.(T)
	n.setIndex(len(*h))
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *minHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	var none T
	old[len(old)-1] = none
	*h = old[:len(old)-1]
	last.setIndex(-1)
	return last
}

// before orders the requests of one workspace by deadline, then by arrival.
func (it *Item) before(o *Item) bool {
	if !it.Deadline.Equal(o.Deadline) {
		return it.Deadline.Before(o.Deadline)
	}
	return it.seq < o.seq
}

func (it *Item) setIndex(index int) { it.index = index }

// before orders flows by virtual time, then by workspace.
func (f *flow) before(o *flow) bool {
	if f.start != o.start {
		return f.start < o.start
	}
	return f.workspace < o.workspace
}

func (f *flow) setIndex(index int) { f.index = index }
