// Package admission has the algorithms by which load is admitted or shed when not all
// of it can be taken.
//
//   - [Free] and [CallerFree] divide a limit on concurrent work among those that share
//     it, so that a flood of one leaves room to the others.
//   - [TokenBucket] does the same for a limit on a rate.
//   - [StartRate] measures how fast the backlog of a queue starts, and estimates from
//     that how long new work will wait.
//   - [WaitThreshold] decides with hysteresis whether such an estimate is too long.
//   - [RetrySchedule] spreads the retries of rejected work over time.
//
// # Invariants
//
// Whatever some participants take, the guaranteed part of each other one stays free for it.
// A participant that holds nothing may take all that is free, so that work which fits into
// a limit is admitted at some time.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Time is
// an argument, a duration since any fixed moment. Its types are not safe for concurrent
// use; their owner locks them. docs/notes/admission.md weighs the alternatives.
package admission
