// Package resources implements arithmetic on amounts of processors, memory and
// accelerators for placement: minimum and maximum, percentages, how often one amount
// fits in another, and the size of an amount as one number, by which workers are
// ordered.
//
// Its functions are pure, know neither workers nor tasks, and allocate nothing,
// because they are called for each check of a task on a worker.
package resources
