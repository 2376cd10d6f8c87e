// Package integration holds tests of several packages together, in one process
// and over real connections on 127.0.0.1: bad input to each daemon, a full
// disk, and the linearizability of what callers and operators see.
package integration
