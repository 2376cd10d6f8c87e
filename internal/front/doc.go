// Package front is the HTTP interface of decklever for callers and operators.
//
// A front is stateless. It validates the form of a request, applies its own limits,
// forwards the call to the leader, and retries until the deadline. Only the leader decides
// whether a job or a configuration is accepted.
//
// # Invariants
//
// Every forwarded call is idempotent, so it may be retried. If all attempts fail, the front
// answers 503: with CodeUnavailable if no attempt can have had an effect, otherwise with
// CodeOutcomeUnknown.
//
// A flood of submissions to one queue, of long polls, or of jobs that the leader rejects
// leaves capacity for other requests (see localLimits).
//
// # Concurrency
//
// A Front is safe for concurrent use. Each goroutine that it starts belongs to one request
// and ends with it. Settings are replaced atomically. A call to the leader that has already
// started keeps its deadline.
package front
