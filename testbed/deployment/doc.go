// Package deployment describes the fleets that the test bed starts: which process
// runs in which zone, on which address, with what capacity, and the first
// configuration.
package deployment
