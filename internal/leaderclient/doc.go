// Package leaderclient keeps a process that is no scheduler (a front, an agent) in
// touch with the leading scheduler.
//
// A [Client] sends one long-poll call at a time to the leader, the watch. Its answer
// names the leader's address, the highest fencing token and the configuration in force,
// and grants a lease; the request confirms to the leader which configuration is in force
// here. While no leader is confirmed, the client queries several schedulers at once.
// Where the process relays heartbeats, their answers may substitute for the watch, which
// is then held much longer.
//
// # Invariants
//
// Fencing tokens and configuration versions only grow: an answer with a lower one is
// rejected as a whole. Without an answer for longer than the lease that the last one
// granted, counted from when its request was sent, the client is not fresh, and its
// process should stop serving what must not be out of date.
//
// # Concurrency
//
// Methods of Client are safe for concurrent use. Client.mutex protects all that is
// known (state); resultMutex, taken before it, orders the results of calls, so that
// Config.OnConfig sees versions in order. Neither mutex is held during a call, and
// mutex is not held during OnConfig. [Client.Run] waits for all goroutines that it
// starts.
//
// The decisions are in state, which does no I/O and takes time as an argument.
package leaderclient
