// Package scenario holds what the lab does to a fleet while callers load it:
// faults, restarts and changes of configuration.
package scenario
