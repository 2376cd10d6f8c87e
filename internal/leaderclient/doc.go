// Package leaderclient finds the leader for a process that is not a scheduler (a front or
// an agent), and follows the leader's fencing token and configuration.
//
// A [Client] keeps one long-poll call to the leader open at a time, the watch. The answer
// names the leader's address, the highest fencing token and the configuration in force,
// and grants a lease. The request confirms to the leader which configuration is in force
// in this process. While no leader is confirmed, the client queries several schedulers at
// once. If the process relays heartbeats, the answers to them may substitute for short
// watches; the leader may then delay its answer to the watch much longer.
//
// # Invariants
//
// Fencing tokens and configuration versions never decrease: an answer with a lower token or
// version is rejected completely. The lease of an answer starts when its request was sent.
// Once all granted leases have expired, the client is not fresh, and its process should
// stop serving data that must not be stale.
//
// # Concurrency
//
// Methods of Client are safe for concurrent use. Client.mutex guards state. resultMutex,
// which is taken before mutex, serialises the handling of results, so that Config.OnConfig
// is called with versions in order. Neither mutex is held during a call, and mutex is not
// held during OnConfig. [Client.Run] waits for all goroutines that it starts.
//
// Type state makes the decisions. It does no I/O and takes the time as an argument.
package leaderclient
