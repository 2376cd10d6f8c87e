// Package resources is the arithmetic that placement does on amounts of
// processors, memory and accelerators: extremes, shares, how often one amount
// fits in another, and the size of an amount as one number, by which workers
// are ordered.
//
// It is pure, knows neither workers nor tasks, and allocates nothing: every
// trial of a task on a worker calls it.
package resources
