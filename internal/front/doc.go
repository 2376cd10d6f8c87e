// Package front is the HTTP interface of decklever for callers and operators.
// A front holds no state of its own: it checks the shape of a request and its
// own admission limits, relays the call to the leading scheduler, and retries
// until the deadline, since every call may safely be sent again. Whether a job
// or a configuration is taken, the leader alone decides.
//
// A call that a front gives up on is answered 503: CodeUnavailable if no try
// can have had an effect, otherwise CodeOutcomeUnknown.
package front
