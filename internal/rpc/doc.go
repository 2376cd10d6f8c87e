// Package rpc carries typed calls between decklever's processes: CBOR bodies over
// HTTP/1.1, POST /rpc/METHOD, on kept-alive connections. The messages are those of
// package protocol.
//
// # Invariants
//
// A call is sent at most once. The package retries nothing: whether a call may be sent
// again is for the caller to know. Each call has a deadline, which the handler's context
// has as well, and bounded bodies.
//
// A failed call returns an [Error] whose code says whether it may have had an effect. An
// api.Error of the handler passes through as it is, so that a front can answer its caller
// with it.
//
// # Cost
//
// Calls are most of a process's work. Buffers are pooled, and a handler's context has a
// timer only once something waits for its end; TestCall_HeartbeatAllocationsAreBounded
// bounds the allocations. Nothing that is decoded points into a pooled buffer.
package rpc
