package indexheap

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// entry is an item that leaves the heap by its due time.
type entry struct {
	due      int
	position int
}

// Before implements Item.
func (e *entry) Before(other *entry) bool { return e.due < other.due }

// SetPosition implements Item.
func (e *entry) SetPosition(position int) { e.position = position }

// checkPositions compares the position that each item stores with its index.
func checkPositions(t *testing.T, h Heap[*entry]) {
	t.Helper()
	for position, item := range h {
		if item.position != position {
			t.Fatalf("the item at %d has position %d", position, item.position)
		}
	}
}

// TestHeap_ItemsKnowTheirPosition: after any order of adding, moving and
// removing, positions are right and items come out in order.
func TestHeap_ItemsKnowTheirPosition(t *testing.T) {
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
				t.Fatalf("removed another item, or its position is %d", removed.position)
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
		t.Errorf("came out as %v", due)
	}
}

// TestPop_ReleasesTheItem: the spare capacity of the slice keeps no item alive.
func TestPop_ReleasesTheItem(t *testing.T) {
	var h Heap[*entry]
	heap.Push(&h, &entry{due: 1})
	heap.Pop(&h)
	if behind := h[:1]; behind[0] != nil {
		t.Errorf("the heap still holds %v", behind[0])
	}
}
