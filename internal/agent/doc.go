// Package agent is the local proxy of a worker machine. It takes the heartbeats of the
// machine's workers over HTTP/1.1 with JSON, relays each to the leading scheduler in one
// call, and returns the answer.
//
// # Invariants
//
// A heartbeat is never sent a second time, neither to the same scheduler nor to another
// one, unless it certainly did not arrive. If its call fails or times out, the worker gets
// a 503 and goes on with its next seq; an answer that comes later is dropped. That is what
// lets the scheduler close a run whose start order was in an answer that was not accepted
// (docs/DESIGN.md, "Holds, tokens and the life of a run").
//
// Of each worker only the newest heartbeat is relayed: a newer one cancels the call of an
// older one. An answer under a fencing token that is lower than the highest seen is
// dropped.
//
// # Concurrency
//
// An Agent starts no goroutines of its own; each request is served on the goroutine of
// the HTTP server. sequences and departures have a mutex each, which is not held during
// calls.
package agent
