// Package placement decides which worker holds which task. It is pure: no
// input or output, no clock, no goroutine, and the same calls give the same
// decisions.
//
// The Engine keeps its own picture of workers' free room and of waiting
// tasks, fed by small changes, so that the cost of a pass grows with what
// changed. Waiting tasks of the same shape share one class: once a class
// found no room it is skipped until a change could have made room for it.
//
// The rule of choice is "fill the fullest" (BigV, section 8): of the workers
// where a task fits, the one with the least room left takes it, so that large
// holes stay for large tasks.
package placement
