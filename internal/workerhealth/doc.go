// Package workerhealth detects unhealthy workers by the outcomes and durations of their
// runs, and detects runs that make no progress.
//
// It has three parts:
//
//   - Outlier ejection. A worker whose runs fail or stall far more often than those of
//     other workers becomes [Suspect]: it is ejected from placement for a time that
//     doubles with each ejection, up to a maximum. Then it is on [Probation] until
//     enough runs have succeeded, and is reinstated as [Healthy]. The scheme follows
//     Envoy's outlier detection, with a bound on the fraction of a service's workers
//     that may be ejected at once.
//   - Slow workers. A worker whose runs take a multiple of the time that comparable
//     runs take becomes [Slow].
//   - Stall detection. [Progress] derives from a run's progress reports how long it may
//     go without progress.
//
// # Invariants
//
// A failure counts against a worker only while its task has not failed on another
// worker: if a task fails on two workers, the task is considered faulty. Several failures
// of one job count as one faulty job, since a job that can never succeed fails on every
// worker. A review ejects no worker if that exceeds the bound for one of its services: a
// quarter of the service's active workers, or one worker if there are two or three. The
// only worker of a service is never ejected.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Time is
// an argument: a duration since an arbitrary fixed moment. The same calls give the same
// results. The types are not safe for concurrent use; the leader that owns them
// serializes all calls. Their state covers one leader's term: a new leader starts with
// every worker healthy.
package workerhealth
