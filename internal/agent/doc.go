// Package agent implements the local proxy of a worker machine. It receives the heartbeats
// of the machine's workers over HTTP/1.1 with JSON, relays each to the leader in one call,
// and returns the answer.
//
// # Invariants
//
// A heartbeat is never sent a second time, neither to the same scheduler nor to another
// one, unless it certainly did not arrive. If its call fails or times out, the worker gets
// a 503 and continues with its next seq; a later answer to the call is dropped. The
// scheduler relies on this to close a run whose assignment was in an answer that the
// worker did not accept
// (docs/DESIGN.md, "Leases, tokens and runs").
//
// Only the newest heartbeat of a worker is relayed: a newer one cancels the call of an
// older one. An answer with a fencing token lower than the highest seen is dropped.
//
// # Concurrency
//
// An Agent starts no goroutines; each request is served on its goroutine of the HTTP
// server. sequences and departures have a mutex each, which is not held during calls.
package agent
