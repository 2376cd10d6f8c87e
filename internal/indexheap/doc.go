// Package indexheap implements a binary heap for use with container/heap. Each item
// stores its own index, so that any item can be moved or removed in logarithmic
// time. A heap has no lock: its owner guards it together with its items.
package indexheap
