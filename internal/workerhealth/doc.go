// Package workerhealth detects unhealthy workers by the outcome of the runs that
// they were given, and runs that make no progress.
//
// It owns three things:
//
//   - Outlier ejection. A worker on which runs fail or stall, while they do not on
//     others, becomes [Suspect]: it is ejected from placement for a time that
//     doubles with each ejection. Then it is on [Probation] until enough runs have
//     succeeded, and is reinstated as [Healthy]. The scheme follows the outlier
//     detection of Envoy, with a bound on the part of a service's workers that may
//     be ejected at once.
//   - Slow workers. A worker whose runs take a multiple of what the same work takes
//     on other workers becomes [Slow].
//   - Stall detection. [Progress] derives from a run's reports how long it may go
//     without progress.
//
// # Invariants
//
// A failure counts against a worker only while its task has not failed on another
// worker: a task that fails on two workers is at fault itself. Failures of one job
// count once, since a job that can never succeed fails wherever it runs. At most a
// quarter of the active workers of a service is ejected, or one if there are two or
// three; a service's only worker never is.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Time
// is an argument, a duration since any fixed moment; the same calls give the same
// results. Its types are not safe for concurrent use; the leader that owns them
// serializes all calls. What they know is of one leader's term: a new leader starts
// with every worker healthy.
package workerhealth
