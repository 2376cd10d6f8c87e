// Package rpc implements typed calls between decklever's processes: CBOR bodies over
// HTTP/1.1, POST /rpc/METHOD, on persistent connections. Package protocol defines the
// messages.
//
// # Invariants
//
// A call is sent at most once. The package never retries, because only the caller knows
// whether a call is safe to repeat. Each call has a deadline, which is passed on to the
// handler's context. The sizes of request and answer bodies are bounded.
//
// A failed call returns an [Error] whose code says whether the call may have had an
// effect. An api.Error returned by the handler reaches the caller unchanged, so that a
// front can send it to its own client.
//
// # Cost
//
// Calls account for most of a process's work. Buffers are therefore pooled, and a timer is
// created for a handler's context only when something waits for its end;
// TestCall_HeartbeatAllocationsAreBounded bounds the allocations. Decoded values never
// point into a pooled buffer.
package rpc
