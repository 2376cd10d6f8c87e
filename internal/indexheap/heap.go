package indexheap

// None is the position of an item that is in no heap.
const None = -1

// Item is an element of a heap: a pointer to a value that stores its position.
type Item[T any] interface {
	// Before reports whether the item is popped before other. If an item in a heap
	// changes so that the result changes, heap.Fix must be called for that item.
	Before(other T) bool
	// SetPosition stores the item's index in the heap, or None after its removal.
	SetPosition(position int)
}

// Heap implements heap.Interface. The first item is the next to be popped; the zero
// value is an empty heap. An item must be in at most one heap.
type Heap[T Item[T]] []T

// Len implements heap.Interface.
func (h Heap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h Heap[T]) Less(i, j int) bool { return h[i].Before(h[j]) }

// Swap implements heap.Interface.
func (h Heap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].SetPosition(i)
	h[j].SetPosition(j)
}

// Push implements heap.Interface.
func (h *Heap[T]) Push(item any) {
	added := item.(T)
	added.SetPosition(len(*h))
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *Heap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	item.SetPosition(None)
	return item
}
