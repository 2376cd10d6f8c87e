// Package daemon is the life that all daemons share: listen, serve, stop in
// order on a signal within a bound, and exit with a code that says what kind
// of failure it was.
package daemon
