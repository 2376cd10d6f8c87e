// Package checker holds pure functions that compare what callers were answered
// (package calllog) with what workers really ran (package eventlog) and report
// each broken promise of docs/DESIGN.md.
//
// It does no I/O, reads no clock, and trusts nothing that the product says about
// itself. The same history always has the same verdict; testdata/histories.jsonl
// holds histories with the verdicts of earlier versions.
package checker
