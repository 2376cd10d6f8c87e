// Package deployment describes the fleets that the test bed starts: the zone, the
// address and the capacity of each process, and the initial configuration.
package deployment
