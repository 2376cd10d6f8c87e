// Package daemon is the life that all daemons share: listen, serve, stop in
// order on a signal within a bound, and exit with a code that says what kind
// of failure it was.
//
// It is given a handler, the functions that work in the background, and the
// bounds on connections, requests and the stop (Config). Run returns once all of
// that has ended; Command and Main make a program of it.
package daemon
