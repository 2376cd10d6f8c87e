// Package integration tests the daemons of package process together, in one process and
// over real connections on 127.0.0.1: bad input to each of them, a full disk of a
// scheduler, and the linearizability of the responses to callers and operators. It has no
// code but tests.
package integration
