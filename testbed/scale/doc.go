// Package scale measures what each role takes as the fleet grows: real
// schedulers, fronts and a few real agents and workers stand beside hollow
// ones (package hollow), under a load that keeps a given number of tasks
// running.
//
// Two regions with eight zones are names and addresses here; there is no delay
// or loss between them.
package scale
