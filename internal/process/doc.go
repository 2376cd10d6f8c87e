// Package process has what all daemons have in common, from the settings that were loaded
// to the configuration of package daemon: logger, health, metrics and the watch of the
// settings (Base), and for daemons without a replica a client of the leader
// (LeaderClientBase).
//
// It holds no state of the service itself. The packages below it are the daemons of the
// product; other programs may embed them and add listeners of their own.
package process
