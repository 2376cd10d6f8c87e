// Package indexheap is a binary heap, used through package container/heap, whose
// items know their own position, so that one in the middle can be moved or removed
// in logarithmic time. It has no lock: the owner of a heap guards it together with
// its items.
package indexheap
