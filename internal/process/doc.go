// Package process contains what all daemons have in common. From loaded settings it creates
// the logger, health, metrics, the watch of the settings file and the configuration of
// package daemon (Base), and for daemons without a replica a client of the leader
// (LeaderClientBase).
//
// It contains no state of the service itself. Its subpackages are the product's daemons;
// other programs may embed the daemons and add their own listeners.
package process
