// Package integration tests the daemons together, in one process and over real connections
// on 127.0.0.1: bad input to each daemon, a full disk of a scheduler, and the
// linearizability of the responses to clients and operators. It contains only tests.
package integration
