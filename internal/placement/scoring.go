package placement

import (
	"cmp"

	"github.com/decklever/decklever/internal/placement/resources"
)

// compareFullest orders workers by "fill the fullest": least room first, ties
// by name. What a task takes is the same on every worker, so the order by room
// before placing is the order by room left after it.
func compareFullest(a, b *worker) int {
	if byRoom := cmp.Compare(a.freeSize, b.freeSize); byRoom != 0 {
		return byRoom
	}
	return compareName(a, b)
}

// compareLeastUnreserved is compareFullest by the room outside of slices.
func compareLeastUnreserved(a, b *worker) int {
	if byRoom := cmp.Compare(a.unreservedSize, b.unreservedSize); byRoom != 0 {
		return byRoom
	}
	return compareName(a, b)
}

func compareName(a, b *worker) int {
	if byName := cmp.Compare(a.Name, b.Name); byName != 0 {
		return byName
	}
	return cmp.Compare(a.ID, b.ID)
}

// sizeOf is the size of what a task of the class needs.
func (x *workerIndex) sizeOf(c *equivalenceClass) float64 {
	return resources.NormalizedSize(c.key.need, x.largest)
}
