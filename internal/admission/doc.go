// Package admission implements the algorithms that decide which work is admitted and
// which is rejected under overload.
//
//   - [Free] and [CallerFree] divide a limit on concurrent work among its participants,
//     so that a flood of work from one of them leaves capacity for the others.
//   - [TokenBucket] does the same for a rate limit.
//   - [StartRate] measures how fast the waiting tasks of a queue start, and estimates
//     from that rate how long new work will wait.
//   - [WaitThreshold] decides with hysteresis whether an estimated wait is too long.
//   - [RetrySchedule] spreads the retries of rejected work over time.
//
// # Invariants
//
// However much some participants take, the guaranteed part of every other participant
// stays available to it. A participant that uses nothing may take all that is free, so
// that any work that fits into the limit is eventually admitted.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Time is
// an argument: a duration since an arbitrary fixed moment. The types are not safe for
// concurrent use; their owner must lock them. docs/notes/admission.md discusses the
// alternatives.
package admission
