// Package lab and the packages below it are the developers' test bench: they
// start a whole fleet of real processes on this machine, drive load, cause
// faults, and check the promises P1 to P14 of docs/DESIGN.md from outside.
//
// Nothing in the product imports these packages, and they never reach into a
// process of the fleet: they know only the workers' journals, the callers'
// ledger and what the operating system says about a process.
package lab
