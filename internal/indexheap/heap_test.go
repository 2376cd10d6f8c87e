package indexheap

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// entry is an item that is ordered by its due time.
type entry struct {
	due      int
	position int
}

// Before implements Item.
func (e *entry) Before(other *entry) bool { return e.due < other.due }

// SetPosition implements Item.
func (e *entry) SetPosition(position int) { e.position = position }

// checkPositions checks that each item stores its index in the heap.
func checkPositions(t *testing.T, h Heap[*entry]) {
	t.Helper()
	for position, item := range h {
		if item.position != position {
			t.Fatalf("item at index %d: got position %d, want its index", position, item.position)
		}
	}
}

// TestHeap_PositionsMatchIndexes: after random pushes, moves and removals, each item
// stores its index, and items are popped in order.
func TestHeap_PositionsMatchIndexes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var h Heap[*entry]
	for range 2000 {
		switch {
		case len(h) == 0 || random.IntN(3) == 0:
			heap.Push(&h, &entry{due: random.IntN(100), position: None})
		case random.IntN(2) == 0:
			moved := h[random.IntN(len(h))]
			moved.due = random.IntN(100)
			heap.Fix(&h, moved.position)
		default:
			removed := h[random.IntN(len(h))]
			if heap.Remove(&h, removed.position) != any(removed) || removed.position != None {
				t.Fatalf("removed another item, or got position %d, want None", removed.position)
			}
		}
		checkPositions(t, h)
	}
	for len(h) < 50 {
		heap.Push(&h, &entry{due: random.IntN(100), position: None})
	}
	var due []int
	for len(h) > 0 {
		due = append(due, heap.Pop(&h).(*entry).due)
		checkPositions(t, h)
	}
	if !slices.IsSorted(due) {
		t.Errorf("got due times popped as %v, want ascending order", due)
	}
}

// TestPop_ClearsFreedSlot: a popped item must not stay reachable through the spare capacity
// of the slice.
func TestPop_ClearsFreedSlot(t *testing.T) {
	var h Heap[*entry]
	heap.Push(&h, &entry{due: 1})
	heap.Pop(&h)
	if spare := h[:1]; spare[0] != nil {
		t.Errorf("got %v in the spare capacity after the pop, want nil", spare[0])
	}
}
