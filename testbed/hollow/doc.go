// Package hollow runs many side machines in one process.
//
// Each node has an agent of its own (internal/agent, its link to the leader
// and its own connections) and a worker of its own (package worker) with the
// whole protocol of both. Hollow is: the tasks only sleep, the worker reaches
// its agent by a call in memory instead of a socket, and all nodes share one
// process, one log and one event log.
package hollow
