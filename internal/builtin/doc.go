// Package builtin holds the handlers of the reference worker: sleep, fail,
// flaky and slow. They stand in for users' work in trials.
package builtin
