// Package indexheap is a priority queue whose items know their own position,
// so that one in the middle can be moved or taken out in logarithmic time. It
// is used through package container/heap.
package indexheap
