// Package hollow simulates many worker machines (hollow nodes) in one process.
//
// Each node has its own agent (internal/agent, with its own link to the leader and its
// own connections) and its own worker (package worker); both use their complete
// protocols. What is simulated: tasks only sleep, the worker reaches its agent by a call
// in memory instead of a socket, and all nodes share one process, one log and one event
// log.
package hollow
