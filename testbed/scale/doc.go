// Package scale measures the resource usage of each role as the fleet grows. Real
// schedulers and fronts and a few real agents and workers run together with hollow
// agents and workers (package hollow), under a load that keeps a given number of
// tasks running.
//
// The two regions with eight zones are only names and addresses; there is no delay
// or loss between them.
package scale
