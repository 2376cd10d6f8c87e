// Package front is the HTTP interface of decklever for callers and operators.
//
// A front is stateless: it checks the form of a request and its own limits, forwards the
// call to the leading scheduler, and retries until the deadline. The leader alone decides
// whether a job or a configuration is accepted.
//
// # Invariants
//
// Every forwarded call is idempotent, so that it may be retried. A call that a front gives
// up is answered 503: with CodeUnavailable if no attempt can have had an effect, otherwise
// with CodeOutcomeUnknown.
//
// A flood of submissions to one queue, of long polls, or of requests that the leader
// rejects leaves capacity to the others (localLimits).
//
// # Concurrency
//
// A Front is safe for concurrent use. The goroutines that it starts are each of one request
// and end with it. Settings are replaced all at once; requests in flight keep the old ones.
package front
