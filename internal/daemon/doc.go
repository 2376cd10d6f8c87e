// Package daemon implements what all daemons share: listening, serving, an orderly stop on a
// signal within a timeout, and an exit code for the kind of failure.
//
// Config has the handler, the background functions, and the limits on connections, requests
// and the stop. Run returns once the daemon has stopped. Command and Main build a
// program's entry point from it.
package daemon
