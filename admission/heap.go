package admission

// node is an element of a minHeap that knows its own place in it.
type node[T any] interface {
	before(other T) bool
	place(index int) // -1 when it is taken out
}

// minHeap implements heap.Interface; elements can be fixed and removed by their
// place.
type minHeap[T node[T]] []T

// Len implements heap.Interface.
func (h minHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h minHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h minHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place(i)
	h[j].place(j)
}

// Push implements heap.Interface.
func (h *minHeap[T]) Push(x any) {
	n := x.(T)
	n.place(len(*h))
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *minHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	var none T
	old[len(old)-1] = none
	*h = old[:len(old)-1]
	last.place(-1)
	return last
}

// before orders the requests of one workspace by deadline, then by arrival.
func (w *Waiting) before(o *Waiting) bool {
	if !w.Deadline.Equal(o.Deadline) {
		return w.Deadline.Before(o.Deadline)
	}
	return w.seq < o.seq
}

func (w *Waiting) place(index int) { w.index = index }

// before orders workspaces by their virtual time.
func (f *flow) before(o *flow) bool {
	if f.start != o.start {
		return f.start < o.start
	}
	return f.workspace < o.workspace
}

func (f *flow) place(index int) { f.index = index }
